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

/** Asks a changing sample of the peers which chunks they hold. Called by one thread. */
final class BitmapExchange {
    static final int MAX_NEIGHBOURS = 16;
    /** Neighbours of other regions in a sample; the owners of this region need only a few outside sources. */
    static final int MAX_REMOTE_NEIGHBOURS = 4;

    /** Interval while replies bring news; a rollout inside a region advances by a few chunks with each exchange. */
    static final Duration SHORTEST_INTERVAL = Duration.ofMillis(100);
    /** Interval while nothing changes, and for peers of other regions, whose link carries live requests as well. */
    static final Duration LONGEST_INTERVAL = Duration.ofSeconds(1);

    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(1);

    private final Members members;
    private final PeerTable peers;
    private final PeerClient client;
    private final TimeSource time;
    private final UniformRandomProvider random;
    private WeightsDigest asked;
    private long askedAtNanos;
    private long askedRemoteAtNanos;
    private Duration interval = SHORTEST_INTERVAL;
    /** Set by replies, which arrive on I/O threads. */
    private volatile boolean news;

    BitmapExchange(Members members, PeerTable peers, PeerClient client, TimeSource time, UniformRandomProvider random) {
        this.members = Objects.requireNonNull(members, "members");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.client = Objects.requireNonNull(client, "client");
        this.time = Objects.requireNonNull(time, "time");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Asks for bitmaps if the last time is long enough ago. */
    void poll(WeightsDigest digest) {
        if (!digest.equals(asked)) {
            peers.clearBitmaps();
            asked = digest;
            interval = SHORTEST_INTERVAL;
            askedRemoteAtNanos = time.nanoTime() - LONGEST_INTERVAL.toNanos();
        } else if (time.since(askedAtNanos).compareTo(interval) < 0) {
            return;
        } else {
            adaptInterval();
        }
        askedAtNanos = time.nanoTime();
        List<Instance> all = members.peers(digest);
        peers.retain(all.stream().map(Instance::id).toList());
        boolean withRemote = time.since(askedRemoteAtNanos).compareTo(LONGEST_INTERVAL) >= 0;
        if (withRemote) {
            askedRemoteAtNanos = askedAtNanos;
        }
        sample(all).stream()
                .filter(instance -> withRemote || members.isSameRegion(instance))
                .forEach(instance -> ask(instance, digest));
    }

    private void adaptInterval() {
        Duration next = news ? interval.dividedBy(2) : interval.multipliedBy(2);
        news = false;
        if (next.compareTo(SHORTEST_INTERVAL) < 0) {
            next = SHORTEST_INTERVAL;
        }
        interval = next.compareTo(LONGEST_INTERVAL) > 0 ? LONGEST_INTERVAL : next;
    }

    /** Returns at most {@link #MAX_NEIGHBOURS}, those of this region first. */
    List<Instance> sample(List<Instance> all) {
        List<Instance> near =
                shuffled(all.stream().filter(members::isSameRegion).toList());
        List<Instance> far = shuffled(
                all.stream().filter(instance -> !members.isSameRegion(instance)).toList());
        int farCount = Math.min(far.size(), Math.max(MAX_REMOTE_NEIGHBOURS, MAX_NEIGHBOURS - near.size()));
        List<Instance> chosen = new ArrayList<>(near.subList(0, Math.min(near.size(), MAX_NEIGHBOURS - farCount)));
        chosen.addAll(far.subList(0, farCount));
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

    private void ask(Instance instance, WeightsDigest digest) {
        Envelope.Builder request =
                Envelope.newBuilder().setHaveRequest(HaveRequest.newBuilder().setWeightsDigest(digest.value()));
        InetSocketAddress address = new InetSocketAddress(instance.host(), instance.peerPort());
        client.call(address, request, REPLY_TIMEOUT).whenComplete((reply, failure) -> {
            if (failure != null) {
                peers.unanswered(instance.id());
            } else if (reply.hasHaveReply()
                    && reply.getHaveReply().getWeightsDigest().equals(digest.value())) {
                HaveReply have = reply.getHaveReply();
                boolean changed = peers.bitmap(
                        instance,
                        members.isSameRegion(instance),
                        BitSet.valueOf(have.getBitmap().toByteArray()),
                        have.getFreeUploadSlots());
                if (changed) {
                    news = true;
                }
            }
        });
    }
}
