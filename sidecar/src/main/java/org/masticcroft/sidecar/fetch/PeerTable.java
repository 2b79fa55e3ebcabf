package org.masticcroft.sidecar.fetch;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.rollout.FetchView;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.ports.instance.Instance;

/**
 * The peers of the current fetch: the chunks that they hold, their free upload slots, and their failures. After a
 * failure a peer is avoided for a backoff time.
 */
final class PeerTable {
    /** Backoff after a first failure; doubles with each further one. */
    static final Duration FAILURE_BACKOFF = Duration.ofSeconds(1);
    /** Backoff after a corrupt chunk: the peer's memory or link is faulty, and further transfers would be wasted. */
    static final Duration CORRUPT_CHUNK_BACKOFF = Duration.ofSeconds(10);
    /** Backoff after a refusal for lack of upload slots or upload bandwidth. */
    static final Duration BUSY_BACKOFF = Duration.ofMillis(150);

    private static final int MAX_BACKOFF_DOUBLINGS = 5;
    /** A single lost call may be chance; after two, the chunks of the peer no longer count as present in the region. */
    private static final int FAILURES_UNTIL_UNAVAILABLE = 2;

    private final TimeSource time;
    private final Map<String, Peer> peers = new HashMap<>();

    PeerTable(TimeSource time) {
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Clears the bitmaps of the previous weights; failures and backoff times stay. */
    synchronized void clearBitmaps() {
        peers.values().forEach(peer -> peer.chunks = new BitSet());
    }

    synchronized void retain(Collection<String> instances) {
        peers.keySet().retainAll(instances);
    }

    /** Stores the bitmap that a peer reported; returns whether it differs from the previous one. */
    synchronized boolean updateBitmap(Instance instance, boolean sameRegion, BitSet chunks, int freeUploadSlots) {
        Peer peer = peers.computeIfAbsent(instance.id(), key -> new Peer());
        peer.address = new InetSocketAddress(instance.host(), instance.peerPort());
        peer.sameRegion = sameRegion;
        boolean changed = !chunks.equals(peer.chunks);
        peer.chunks = chunks;
        peer.freeUploadSlots = freeUploadSlots;
        peer.unansweredPolls = 0;
        return changed;
    }

    /** Records that a peer did not answer a request for its bitmap. */
    synchronized void recordUnansweredPoll(String instance) {
        peers.computeIfAbsent(instance, key -> new Peer()).unansweredPolls++;
    }

    synchronized Optional<Peer> find(String instance) {
        return Optional.ofNullable(peers.get(instance));
    }

    synchronized void recordSuccess(String instance) {
        find(instance).ifPresent(peer -> {
            peer.failures = 0;
            peer.unavailableDuringBackoff = false;
        });
    }

    synchronized void recordMissing(String instance, int chunk) {
        find(instance).ifPresent(peer -> {
            BitSet remaining = (BitSet) peer.chunks.clone();
            remaining.clear(chunk);
            peer.chunks = remaining;
        });
    }

    synchronized void recordBusy(String instance) {
        find(instance).ifPresent(peer -> peer.backoffUntilNanos = time.nanoTime() + BUSY_BACKOFF.toNanos());
    }

    /** Avoids a peer for {@code initialBackoff}, doubled for each consecutive failure before this one. */
    synchronized void backOff(String instance, Duration initialBackoff, String reason) {
        Peer peer = peers.computeIfAbsent(instance, key -> new Peer());
        long backoffNanos = initialBackoff.toNanos() << Math.min(peer.failures++, MAX_BACKOFF_DOUBLINGS);
        peer.backoffUntilNanos = time.nanoTime() + backoffNanos;
        peer.unavailableDuringBackoff |=
                initialBackoff == CORRUPT_CHUNK_BACKOFF || peer.failures >= FAILURES_UNTIL_UNAVAILABLE;
        EventLog.warn(
                Event.SOURCE_SET_BACK,
                "source",
                instance,
                "reason",
                reason,
                "ms",
                Duration.ofNanos(backoffNanos).toMillis());
    }

    /** Returns whether a peer does not answer, or is avoided because of repeated failures or a corrupt chunk. */
    synchronized boolean isUnavailable(String instance) {
        return find(instance)
                .filter(peer -> peer.isUnavailable(time.nanoTime()))
                .isPresent();
    }

    /**
     * Returns the peers for a planner whose time scale starts at {@code startNanos}. Unavailable peers are left out, so
     * that chunks which only they hold are fetched from another source.
     */
    synchronized List<FetchView.Peer> view(long startNanos) {
        return peers.entrySet().stream()
                .filter(entry -> !entry.getValue().chunks.isEmpty())
                .filter(entry -> !entry.getValue().isUnavailable(time.nanoTime()))
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> entry.getValue().view(entry.getKey(), startNanos))
                .toList();
    }

    /** State of one peer. The fields are guarded by the monitor of the table; bit sets are replaced, never modified. */
    static final class Peer {
        private InetSocketAddress address;
        private boolean sameRegion;
        private BitSet chunks = new BitSet();
        private int freeUploadSlots;
        private int failures;
        private long backoffUntilNanos = Long.MIN_VALUE;
        private boolean unavailableDuringBackoff;
        private int unansweredPolls;

        InetSocketAddress address() {
            return address;
        }

        boolean sameRegion() {
            return sameRegion;
        }

        private boolean isUnavailable(long nowNanos) {
            return unansweredPolls >= FAILURES_UNTIL_UNAVAILABLE
                    || (unavailableDuringBackoff && nowNanos - backoffUntilNanos < 0);
        }

        private FetchView.Peer view(String instance, long startNanos) {
            long avoidUntilMillis = backoffUntilNanos == Long.MIN_VALUE
                    ? 0
                    : Math.max(
                            0, Duration.ofNanos(backoffUntilNanos - startNanos).toMillis());
            return new FetchView.Peer(instance, sameRegion, chunks, freeUploadSlots, avoidUntilMillis);
        }
    }
}
