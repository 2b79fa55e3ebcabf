package org.masticcroft.gateway.weights;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.masticcroft.gateway.fleet.FleetChange;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.generated.HeldPieces;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.kernel.rollout.FetchView;
import org.masticcroft.kernel.time.TimeSource;

/** The other sidecars of the fleet: their addresses and regions, and the pieces that they announce. */
final class Peers {
    /** Time for which no pieces are requested from a peer after it failed to return one. */
    private static final Duration FAILURE_BACKOFF = Duration.ofMillis(1500);

    /**
     * Time for which no pieces are requested from a peer that had no free upload slot. It frees one about every 50 ms,
     * and announces its free slots every 120 ms.
     */
    private static final Duration BUSY_BACKOFF = Duration.ofMillis(120);

    /** Age after which an announcement is ignored; sidecars repeat them several times per second. */
    private static final Duration ANNOUNCEMENT_LIFETIME = Duration.ofMillis(2500);

    /** Time after a restore of the store within which upstreams register again, which takes about 2 s. */
    private static final Duration REGISTRATION_TIME = Duration.ofMillis(3000);

    /** Versions that a peer announces pieces of: the one it fetches and the one before. */
    private static final int MAX_VERSIONS = 2;

    private final TimeSource time;
    private final String ownIp;
    private final Map<String, UpstreamListing> listingByIp = new HashMap<>();
    /** The newest announcement of each peer for each version that it holds pieces of. */
    private final Map<String, TreeMap<Long, Announcement>> announcements = new HashMap<>();

    /** Monotonic time in nanoseconds from which pieces may be requested again from a peer that returned none. */
    private final Map<String, Long> backoffEndNanos = new HashMap<>();

    /** Monotonic time in nanoseconds until which no known upstream is removed. */
    private long keptUntilNanos;

    private Peers(TimeSource time, String ownIp) {
        this.time = time;
        this.ownIp = ownIp;
        this.keptUntilNanos = time.nanoTime();
    }

    static Peers of(TimeSource time, String ownIp) {
        return new Peers(time, ownIp);
    }

    /** Makes the next reads of the list remove no upstream, since the store has come back from an older copy. */
    void storeRestored() {
        keptUntilNanos = time.nanoTime() + REGISTRATION_TIME.toNanos();
    }

    /** Replaces the known upstreams of a service by those of a full read of the list of upstreams. */
    void applyUpstreams(List<FleetChange> changes, String service) {
        if (time.nanoTime() - keptUntilNanos >= 0) {
            listingByIp.clear();
        }
        for (FleetChange change : changes) {
            if (change instanceof FleetChange.UpstreamListed listed
                    && listed.listing().service().equals(service)) {
                listingByIp.put(listed.listing().address().ip(), listed.listing());
            }
        }
    }

    boolean isEmpty() {
        return listingByIp.isEmpty();
    }

    /** Returns the IP addresses of all peers that are listed or have announced pieces. */
    List<String> ips() {
        Set<String> ips = new TreeSet<>(listingByIp.keySet());
        ips.addAll(announcements.keySet());
        ips.remove(ownIp);
        return List.copyOf(ips);
    }

    /** Returns the IP addresses of the sidecars of a region, including this one. */
    List<String> regionMembers(Map<String, String> regionByDataCentre, String region) {
        List<String> members = new ArrayList<>();
        members.add(ownIp);
        listingByIp.forEach((ip, listing) -> {
            if (!ip.equals(ownIp)
                    && regionByDataCentre
                            .getOrDefault(listing.zone(), listing.zone())
                            .equals(region)) {
                members.add(ip);
            }
        });
        return members;
    }

    /**
     * Returns the members of a region that fetch a version or may do so. Those that announce pieces of a newer version,
     * or only of an older one, are left out, since a piece that were theirs to draw would wait for them.
     *
     * @param withSilent whether members that have announced nothing recently are included
     */
    List<String> fetchers(long version, Map<String, String> regionByDataCentre, String region, boolean withSilent) {
        return regionMembers(regionByDataCentre, region).stream()
                .filter(ip -> ip.equals(ownIp) || newestAnnounced(ip).orElse(withSilent ? version : 0) == version)
                .toList();
    }

    private OptionalLong newestAnnounced(String ip) {
        return announcements.getOrDefault(ip, new TreeMap<>()).values().stream()
                .filter(this::isRecent)
                .mapToLong(announcement -> announcement.held().getVersion())
                .max();
    }

    /** Records the pieces that a peer announces. */
    void recordAnnouncement(Address sender, HeldPieces held) {
        TreeMap<Long, Announcement> ofPeer = announcements.computeIfAbsent(sender.ip(), ip -> new TreeMap<>());
        ofPeer.put(
                held.getVersion(),
                new Announcement(held, BitSet.valueOf(held.getBitmap().toByteArray()), time.nanoTime()));
        if (ofPeer.size() > MAX_VERSIONS) {
            ofPeer.pollFirstEntry();
        }
    }

    /** Records that a peer failed to return a piece. */
    void markFailed(String ip) {
        backoffEndNanos.put(ip, time.nanoTime() + FAILURE_BACKOFF.toNanos());
    }

    /** Records that a peer had no free upload slot. */
    void markBusy(String ip) {
        backoffEndNanos.put(ip, time.nanoTime() + BUSY_BACKOFF.toNanos());
    }

    /** Returns the peers that hold pieces of a version, in the form that the fetch planner uses. */
    List<FetchView.Peer> holders(
            String model, long version, Map<String, String> regionByDataCentre, String region, long sinceStartMillis) {
        List<FetchView.Peer> peers = new ArrayList<>();
        recent(model, version).forEach((ip, announcement) -> {
            UpstreamListing listing = listingByIp.get(ip);
            String zone = listing == null ? "" : listing.zone();
            boolean sameRegion = regionByDataCentre.getOrDefault(zone, zone).equals(region);
            long backoffMillis = backoffEndNanos.containsKey(ip)
                    ? Duration.ofNanos(backoffEndNanos.get(ip) - time.nanoTime())
                            .toMillis()
                    : 0;
            peers.add(new FetchView.Peer(
                    ip,
                    sameRegion,
                    announcement.bitmap(),
                    announcement.held().getFreeUploads(),
                    sinceStartMillis + Math.max(0, backoffMillis)));
        });
        return peers;
    }

    /**
     * Returns the peers that announced pieces of a version and therefore have its manifest; only those of the region if
     * there are any.
     */
    List<String> manifestHolders(String model, long version, Region region) {
        List<String> sameRegion = new ArrayList<>();
        List<String> all = new ArrayList<>();
        recent(model, version).keySet().forEach(ip -> {
            all.add(ip);
            if (isInRegion(ip, region.regionByDataCentre(), region.name())) {
                sameRegion.add(ip);
            }
        });
        return sameRegion.isEmpty() ? all : sameRegion;
    }

    /** Returns whether a listed peer is in a region. */
    boolean isInRegion(String ip, Map<String, String> regionByDataCentre, String region) {
        UpstreamListing listing = listingByIp.get(ip);
        return listing != null
                && regionByDataCentre
                        .getOrDefault(listing.zone(), listing.zone())
                        .equals(region);
    }

    /** Returns the pieces of a version that at least one peer announces. */
    BitSet heldByAny(String model, long version) {
        BitSet held = new BitSet();
        recent(model, version).values().forEach(announcement -> held.or(announcement.bitmap()));
        return held;
    }

    /** Returns the versions that the peers with these addresses served when they last announced pieces; 0 for none. */
    List<Long> servedVersions(Collection<String> ips) {
        return latest().entrySet().stream()
                .filter(entry -> ips.contains(entry.getKey()))
                .map(entry -> entry.getValue().held().getServedVersion())
                .toList();
    }

    /** Returns whether a peer announces that it serves an older version of a model, or none. */
    boolean anyServesOlder(String model, long version) {
        return latest().values().stream()
                .anyMatch(announcement -> announcement.held().getModel().equals(model)
                        && announcement.held().getServedVersion() < version);
    }

    /**
     * Returns whether a peer fetches a version of which it announces fewer pieces than the given number. Peers that
     * have turned to a newer version do not count, or they would announce to one another for ever what they lack.
     */
    boolean anyIncomplete(String model, long version, int pieceCount) {
        return recent(model, version).entrySet().stream()
                .anyMatch(entry -> entry.getValue().bitmap().cardinality() < pieceCount
                        && newestAnnounced(entry.getKey()).orElse(version) == version);
    }

    private Map<String, Announcement> recent(String model, long version) {
        Map<String, Announcement> recent = new HashMap<>();
        announcements.forEach((ip, ofPeer) -> {
            Announcement announcement = ofPeer.get(version);
            if (announcement != null
                    && isRecent(announcement)
                    && announcement.held().getModel().equals(model)) {
                recent.put(ip, announcement);
            }
        });
        return recent;
    }

    /** Returns the newest announcement of each live peer, of whichever version. */
    private Map<String, Announcement> latest() {
        Map<String, Announcement> latest = new HashMap<>();
        announcements.forEach((ip, ofPeer) -> ofPeer.values().stream()
                .filter(this::isRecent)
                .max(Comparator.comparingLong(Announcement::receivedNanos))
                .ifPresent(announcement -> latest.put(ip, announcement)));
        return latest;
    }

    private boolean isRecent(Announcement announcement) {
        return time.since(announcement.receivedNanos()).compareTo(ANNOUNCEMENT_LIFETIME) < 0;
    }

    /**
     * The name of a region, and the regions of all data centres.
     *
     * @param name name of the region
     * @param regionByDataCentre region of each data centre
     */
    record Region(String name, Map<String, String> regionByDataCentre) {}

    private record Announcement(HeldPieces held, BitSet bitmap, long receivedNanos) {}
}
