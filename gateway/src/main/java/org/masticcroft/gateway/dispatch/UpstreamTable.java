package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.load.LoadReport;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.event.Event;

/** The listed upstreams, and for a while those that were removed while requests of this entry still run there. */
public final class UpstreamTable {
    /** Time for which the state of a removed upstream is kept; longer than any request runs. */
    private static final Duration REMOVED_RETENTION = Duration.ofSeconds(15);

    /**
     * Time without a report of any sidecar after which they may no longer count this entry. A subscription lasts 3.5 s,
     * and the last one may have been sent a second before the last report.
     */
    private static final Duration MAX_SILENCE = Duration.ofMillis(2000);

    private final DecisionLog log;
    private final Map<String, Upstream> byId = new HashMap<>();

    private UpstreamTable(DecisionLog log) {
        this.log = log;
    }

    /** Creates an empty table. */
    public static UpstreamTable of(DecisionLog log) {
        return new UpstreamTable(log);
    }

    /** Returns the listed upstreams of a service. */
    public List<Upstream> ofService(String service) {
        List<Upstream> found = new ArrayList<>();
        for (Upstream upstream : byId.values()) {
            if (!upstream.removed() && upstream.listing().service().equals(service)) {
                found.add(upstream);
            }
        }
        return found;
    }

    /** Returns all listed upstreams. */
    public List<Upstream> listed() {
        return byId.values().stream().filter(upstream -> !upstream.removed()).toList();
    }

    /**
     * Returns the largest number of entries that any sidecar states. Empty if none states it, or if no sidecar has sent
     * a report for so long that this entry may no longer be counted.
     */
    public OptionalInt statedEntries(long nowNanos) {
        int entries = 0;
        boolean inTouch = false;
        for (Upstream upstream : byId.values()) {
            if (!upstream.removed()) {
                entries = Math.max(entries, upstream.entries().orElse(0));
                inTouch |= upstream.reportedWithin(MAX_SILENCE, nowNanos);
            }
        }
        return inTouch && entries > 0 ? OptionalInt.of(entries) : OptionalInt.empty();
    }

    /** Adds an upstream, or updates its listing. An upstream whose process was restarted starts with a new state. */
    public void put(UpstreamListing listing, long nowNanos) {
        put(listing, Duration.ZERO, nowNanos);
    }

    /**
     * Does the same for a list that is read during traffic.
     *
     * @param listing entry of the list
     * @param coldTime time for which a process that was not listed before is cold, whatever its entry states
     * @param nowNanos monotonic time in nanoseconds
     */
    public void put(UpstreamListing listing, Duration coldTime, long nowNanos) {
        Upstream known = byId.get(listing.id());
        if (known == null || known.listing().startMillis() != listing.startMillis()) {
            Upstream started = Upstream.of(listing, nowNanos);
            started.recordCold(coldTime, "started", nowNanos);
            byId.put(listing.id(), started);
        } else {
            known.updateListing(listing);
        }
        byId.get(listing.id()).recordCold(listing.coldRemaining(), "listed", nowNanos);
        log.write(
                listing.leaving() ? Event.UPSTREAM_NOT_ROUTABLE : Event.UPSTREAM_ROUTABLE,
                "upstream",
                listing.id(),
                "service",
                listing.service(),
                "address",
                listing.address(),
                "zone",
                listing.zone(),
                "version",
                listing.loadedVersion().isPresent() ? listing.loadedVersion().getAsLong() : "none",
                "leaving",
                listing.leaving());
    }

    /** Removes an upstream; requests that run there continue. */
    public void remove(String id, long nowNanos) {
        Upstream upstream = byId.get(id);
        if (upstream != null && !upstream.removed()) {
            upstream.remove(nowNanos);
            log.write(Event.UPSTREAM_NOT_ROUTABLE, "upstream", id, "reason", "removed-from-list");
        }
        byId.values().removeIf(old -> old.removed() && nowNanos - old.removedNanos() > REMOVED_RETENTION.toNanos());
    }

    /** Removes all upstreams except the given ones, after the whole list was read. */
    public void retainAll(Collection<String> ids, long nowNanos) {
        Set<String> kept = new HashSet<>(ids);
        for (String id : new ArrayList<>(byId.keySet())) {
            if (!kept.contains(id)) {
                remove(id, nowNanos);
            }
        }
    }

    /**
     * Applies a load report of the engine at an address. The list may contain other upstreams with the same address,
     * for example an earlier process whose entry has not expired yet; they get no report.
     */
    public void applyReport(Address address, LoadReport report, long nowNanos) {
        for (Upstream upstream : byId.values()) {
            UpstreamListing listing = upstream.listing();
            if (!upstream.removed()
                    && listing.startMillis() == report.startMillis()
                    && listing.address().equals(address)) {
                upstream.applyReport(report, nowNanos);
            } else if (listing.startMillis() < report.startMillis()
                    && listing.address().equals(address)) {
                upstream.recordRestart(report.startMillis(), nowNanos);
            }
        }
    }
}
