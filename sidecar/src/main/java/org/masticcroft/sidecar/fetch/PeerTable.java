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

/** What is known about the peers that hold chunks of the weights being fetched. */
final class PeerTable {
    /** Set-back after a first failure; doubles with each further one. */
    static final Duration FAILURE_SET_BACK = Duration.ofSeconds(1);
    /** Set-back after a corrupt chunk: the peer's memory or link is faulty, and more chunks would be wasted. */
    static final Duration CORRUPT_SET_BACK = Duration.ofSeconds(10);
    /** Set-back after a refusal for lack of upload slots. */
    static final Duration BUSY_SET_BACK = Duration.ofMillis(150);

    private static final int MAX_DOUBLINGS = 5;
    /** A single lost call may be chance; after two, the chunks of the peer do not count as present in the region. */
    private static final int FAILURES_UNTIL_HIDDEN = 2;

    private final TimeSource time;
    private final Map<String, Peer> peers = new HashMap<>();

    PeerTable(TimeSource time) {
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Forgets the bitmaps of the previous weights; set-backs stay. */
    synchronized void clearBitmaps() {
        peers.values().forEach(peer -> peer.chunks = new BitSet());
    }

    synchronized void retain(Collection<String> instances) {
        peers.keySet().retainAll(instances);
    }

    /** Takes the bitmap of a peer; returns whether the peer holds other chunks than before. */
    synchronized boolean bitmap(Instance instance, boolean sameRegion, BitSet chunks, int freeUploadSlots) {
        Peer peer = peers.computeIfAbsent(instance.id(), key -> new Peer());
        peer.address = new InetSocketAddress(instance.host(), instance.peerPort());
        peer.sameRegion = sameRegion;
        boolean changed = !chunks.equals(peer.chunks);
        peer.chunks = chunks;
        peer.freeUploadSlots = freeUploadSlots;
        peer.unanswered = 0;
        return changed;
    }

    /** Notes that a peer did not answer the request for its bitmap. */
    synchronized void unanswered(String instance) {
        peers.computeIfAbsent(instance, key -> new Peer()).unanswered++;
    }

    synchronized Optional<Peer> find(String instance) {
        return Optional.ofNullable(peers.get(instance));
    }

    synchronized void succeeded(String instance) {
        find(instance).ifPresent(peer -> {
            peer.failures = 0;
            peer.hidden = false;
        });
    }

    synchronized void lacks(String instance, int chunk) {
        find(instance).ifPresent(peer -> {
            BitSet without = (BitSet) peer.chunks.clone();
            without.clear(chunk);
            peer.chunks = without;
        });
    }

    synchronized void busy(String instance) {
        find(instance).ifPresent(peer -> peer.avoidUntilNanos = time.nanoTime() + BUSY_SET_BACK.toNanos());
    }

    synchronized void setBack(String instance, Duration first, String reason) {
        Peer peer = peers.computeIfAbsent(instance, key -> new Peer());
        long pause = first.toNanos() << Math.min(peer.failures++, MAX_DOUBLINGS);
        peer.avoidUntilNanos = time.nanoTime() + pause;
        peer.hidden |= first == CORRUPT_SET_BACK || peer.failures >= FAILURES_UNTIL_HIDDEN;
        EventLog.warn(
                Event.SOURCE_SET_BACK,
                "source",
                instance,
                "reason",
                reason,
                "ms",
                Duration.ofNanos(pause).toMillis());
    }

    /** Returns whether a peer does not answer, or is set back for repeated failures or a corrupt chunk. */
    synchronized boolean isHidden(String instance) {
        return find(instance).filter(peer -> peer.isHidden(time.nanoTime())).isPresent();
    }

    /**
     * Returns the peers for a planner whose time scale starts at {@code startNanos}. Hidden ones are left out, so that
     * another source replaces what only they hold.
     */
    synchronized List<FetchView.Peer> view(long startNanos) {
        return peers.entrySet().stream()
                .filter(entry -> !entry.getValue().chunks.isEmpty())
                .filter(entry -> !entry.getValue().isHidden(time.nanoTime()))
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> entry.getValue().view(entry.getKey(), startNanos))
                .toList();
    }

    /** One peer. The fields are guarded by the monitor of the table; bit sets are replaced, never modified. */
    static final class Peer {
        private InetSocketAddress address;
        private boolean sameRegion;
        private BitSet chunks = new BitSet();
        private int freeUploadSlots;
        private int failures;
        private long avoidUntilNanos = Long.MIN_VALUE;
        private boolean hidden;
        private int unanswered;

        InetSocketAddress address() {
            return address;
        }

        boolean sameRegion() {
            return sameRegion;
        }

        private boolean isHidden(long nowNanos) {
            return unanswered >= FAILURES_UNTIL_HIDDEN || (hidden && nowNanos - avoidUntilNanos < 0);
        }

        private FetchView.Peer view(String instance, long startNanos) {
            long until = avoidUntilNanos == Long.MIN_VALUE
                    ? 0
                    : Math.max(0, Duration.ofNanos(avoidUntilNanos - startNanos).toMillis());
            return new FetchView.Peer(instance, sameRegion, chunks, freeUploadSlots, until);
        }
    }
}
