package org.masticcroft.gateway.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Which listing of each upstream is the newest. Within one era of the store, the order of the records tells. A copy
 * from which the store came back may hold older listings than those known here, and list upstreams that have left.
 */
public final class ListingHistory {
    /**
     * Time for which removed upstreams are remembered, and for which an earlier start of an upstream counts as older.
     * The copy is some seconds old, and an upstream writes its listing again about 2 s after a restore.
     */
    private static final Duration RETENTION = Duration.ofSeconds(60);

    private final TimeSource time;
    private final Map<String, Known> knownById = new HashMap<>();
    private int restores;

    private ListingHistory(TimeSource time) {
        this.time = time;
    }

    /** Creates a history without listings. */
    public static ListingHistory empty(TimeSource time) {
        return new ListingHistory(Objects.requireNonNull(time, "time"));
    }

    /** Records that the listings that follow may be older than the known ones. */
    public void storeRestored() {
        restores++;
        removeOld();
    }

    /**
     * Records a listing of a full read unless it is older than the known one of the upstream. After a restore, it may
     * be one of the copy.
     *
     * @return whether the listing takes effect
     */
    public boolean addFromFullRead(UpstreamListing listing) {
        return add(listing, true);
    }

    /**
     * Records a listing that was written after a full read of the present era, unless it is older than the known one of
     * the upstream.
     *
     * @return whether the listing takes effect
     */
    public boolean add(UpstreamListing listing) {
        return add(listing, false);
    }

    private boolean add(UpstreamListing listing, boolean fullRead) {
        Known known = knownById.get(listing.id());
        if (known != null && isOlder(listing, known, fullRead && known.restores() < restores)) {
            return false;
        }
        knownById.put(
                listing.id(), new Known(listing.startMillis(), listing.sequence(), false, restores, time.nanoTime()));
        return true;
    }

    /** Records that an upstream was removed from the list. */
    public void remove(String id) {
        knownById.computeIfPresent(
                id, (key, known) -> new Known(known.startMillis(), known.sequence(), true, restores, time.nanoTime()));
        removeOld();
    }

    /**
     * Returns whether a listing is older. Starts that are unknown can't be compared.
     *
     * @param fromCopy whether the listing may be one of a copy that was made before the known one was written
     */
    private boolean isOlder(UpstreamListing listing, Known known, boolean fromCopy) {
        boolean recent = time.since(known.recordedNanos()).compareTo(RETENTION) < 0;
        if (listing.startMillis() == 0 || known.startMillis() == 0 || (known.removed() && !recent)) {
            return false;
        }
        if (listing.startMillis() != known.startMillis()) {
            // The wall clock of a machine may be set back, so within an era a restart may have an earlier start.
            return fromCopy && recent && listing.startMillis() < known.startMillis();
        }
        return listing.sequence() < known.sequence()
                || (fromCopy && known.removed() && listing.sequence() == known.sequence());
    }

    private void removeOld() {
        knownById
                .values()
                .removeIf(known ->
                        known.removed() && time.since(known.recordedNanos()).compareTo(RETENTION) >= 0);
    }

    /** The newest listing of an upstream, and the number of restores before it was recorded. */
    private record Known(long startMillis, long sequence, boolean removed, int restores, long recordedNanos) {}
}
