package org.masticcroft.sidecar.fetch;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.wire.PeerClient;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.HaveReply;
import org.masticcroft.wire.generated.HaveRequest;

/**
 * Polls a random sample of the peers for the bitmaps of the chunks that they hold. {@link #poll} must not be called
 * concurrently.
 */
final class BitmapExchange {
    static final int MAX_NEIGHBOURS = 16;
    /**
     * Places of a sample that are reserved for peers of other regions; the peers of this region together need only a
     * few sources outside it. Peers of other regions also get the places that this region leaves free.
     */
    static final int RESERVED_REMOTE_NEIGHBOURS = 4;

    /** Interval while bitmaps change; a rollout within a region advances by a few chunks with each exchange. */
    static final Duration MIN_INTERVAL = Duration.ofMillis(100);
    /** Interval while no bitmap changes, and for peers of other regions, whose link also carries live requests. */
    static final Duration MAX_INTERVAL = Duration.ofSeconds(1);

    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(1);

    private final SwarmMembers members;
    private final PeerTable peers;
    private final PeerClient client;
    private final TimeSource time;
    private final UniformRandomProvider random;
    private WeightsDigest polledDigest;
    private long lastPollNanos;
    private long lastRemotePollNanos;
    private Duration interval = MIN_INTERVAL;
    /** Whether a reply since the last poll changed a bitmap. Set on I/O threads. */
    private volatile boolean bitmapChanged;

    BitmapExchange(
            SwarmMembers members, PeerTable peers, PeerClient client, TimeSource time, UniformRandomProvider random) {
        this.members = Objects.requireNonNull(members, "members");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.client = Objects.requireNonNull(client, "client");
        this.time = Objects.requireNonNull(time, "time");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Polls a sample of the peers that want these weights, unless the current interval has not elapsed yet. */
    void poll(WeightsDigest digest) {
        if (!digest.equals(polledDigest)) {
            peers.clearBitmaps();
            polledDigest = digest;
            interval = MIN_INTERVAL;
            lastRemotePollNanos = time.nanoTime() - MAX_INTERVAL.toNanos();
        } else if (time.since(lastPollNanos).compareTo(interval) < 0) {
            return;
        } else {
            adaptInterval();
        }
        lastPollNanos = time.nanoTime();
        List<Instance> candidates = members.peers(digest);
        peers.retain(candidates.stream().map(Instance::id).toList());
        boolean includeRemote = time.since(lastRemotePollNanos).compareTo(MAX_INTERVAL) >= 0;
        if (includeRemote) {
            lastRemotePollNanos = lastPollNanos;
        }
        sample(candidates).stream()
                .filter(instance -> includeRemote || members.isSameRegion(instance))
                .forEach(instance -> requestBitmap(instance, digest));
    }

    private void adaptInterval() {
        Duration next = bitmapChanged ? interval.dividedBy(2) : interval.multipliedBy(2);
        bitmapChanged = false;
        if (next.compareTo(MIN_INTERVAL) < 0) {
            next = MIN_INTERVAL;
        }
        interval = next.compareTo(MAX_INTERVAL) > 0 ? MAX_INTERVAL : next;
    }

    /** Returns a random sample of at most {@link #MAX_NEIGHBOURS} peers, listing those of this region first. */
    List<Instance> sample(List<Instance> candidates) {
        List<Instance> regional =
                shuffled(candidates.stream().filter(members::isSameRegion).toList());
        List<Instance> remote = shuffled(candidates.stream()
                .filter(instance -> !members.isSameRegion(instance))
                .toList());
        int remoteCount =
                Math.min(remote.size(), Math.max(RESERVED_REMOTE_NEIGHBOURS, MAX_NEIGHBOURS - regional.size()));
        List<Instance> chosen =
                new ArrayList<>(regional.subList(0, Math.min(regional.size(), MAX_NEIGHBOURS - remoteCount)));
        chosen.addAll(remote.subList(0, remoteCount));
        return chosen;
    }

    private List<Instance> shuffled(List<Instance> instances) {
        List<Instance> result = new ArrayList<>(instances);
        for (int i = result.size() - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            result.set(j, result.set(i, result.get(j)));
        }
        return result;
    }

    private void requestBitmap(Instance instance, WeightsDigest digest) {
        Envelope.Builder request =
                Envelope.newBuilder().setHaveRequest(HaveRequest.newBuilder().setWeightsDigest(digest.value()));
        InetSocketAddress address = new InetSocketAddress(instance.host(), instance.peerPort());
        client.call(address, request, REPLY_TIMEOUT).whenComplete((reply, failure) -> {
            if (failure != null) {
                peers.recordUnansweredPoll(instance.id());
            } else if (reply.hasHaveReply()
                    && reply.getHaveReply().getWeightsDigest().equals(digest.value())) {
                HaveReply have = reply.getHaveReply();
                boolean changed = peers.updateBitmap(
                        instance,
                        members.isSameRegion(instance),
                        BitSet.valueOf(have.getBitmap().toByteArray()),
                        have.getFreeUploadSlots());
                if (changed) {
                    bitmapChanged = true;
                }
            }
        });
    }
}
