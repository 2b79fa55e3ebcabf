package org.masticcroft.gateway.weights;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

    /** Age after which an announcement is ignored; sidecars repeat them several times per second. */
    private static final Duration ANNOUNCEMENT_LIFETIME = Duration.ofMillis(2500);

    private final TimeSource time;
    private final String ownIp;
    private final Map<String, UpstreamListing> listingByIp = new HashMap<>();
    private final Map<String, Announcement> announcements = new HashMap<>();
    private final Map<String, Long> failureNanos = new HashMap<>();

    private Peers(TimeSource time, String ownIp) {
        this.time = time;
        this.ownIp = ownIp;
    }

    static Peers of(TimeSource time, String ownIp) {
        return new Peers(time, ownIp);
    }

    /** Replaces the known upstreams of a service by those of a full read of the list of upstreams. */
    void applyUpstreams(List<FleetChange> changes, String service) {
        listingByIp.clear();
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

    /**
     * Returns the IP addresses of the sidecars of a region, including this one; all are assumed to lack the version.
     */
    List<String> regionMembers(long version, Map<String, String> regionByDataCentre, String region) {
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

    /** Records the pieces that a peer announces. */
    void recordAnnouncement(Address sender, HeldPieces held) {
        announcements.put(
                sender.ip(),
                new Announcement(held, BitSet.valueOf(held.getBitmap().toByteArray()), time.nanoTime()));
    }

    /** Records that a peer failed to return a piece. */
    void markFailed(String ip) {
        failureNanos.put(ip, time.nanoTime());
    }

    /** Returns the peers that hold pieces of a version, in the form that the fetch planner uses. */
    List<FetchView.Peer> holders(
            String model, long version, Map<String, String> regionByDataCentre, String region, long sinceStartMillis) {
        List<FetchView.Peer> peers = new ArrayList<>();
        announcements.forEach((ip, announcement) -> {
            if (announcement.isFor(model, version)
                    && time.since(announcement.receivedNanos()).compareTo(ANNOUNCEMENT_LIFETIME) < 0) {
                UpstreamListing listing = listingByIp.get(ip);
                String zone = listing == null ? "" : listing.zone();
                boolean sameRegion = regionByDataCentre.getOrDefault(zone, zone).equals(region);
                long backoffMillis = failureNanos.containsKey(ip)
                        ? FAILURE_BACKOFF
                                .minus(time.since(failureNanos.get(ip)))
                                .toMillis()
                        : 0;
                peers.add(new FetchView.Peer(
                        ip,
                        sameRegion,
                        announcement.bitmap(),
                        announcement.held().getFreeUploads(),
                        sinceStartMillis + Math.max(0, backoffMillis)));
            }
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
        announcements.forEach((ip, announcement) -> {
            if (announcement.isFor(model, version)
                    && time.since(announcement.receivedNanos()).compareTo(ANNOUNCEMENT_LIFETIME) < 0) {
                all.add(ip);
                if (isInRegion(ip, region.regionByDataCentre(), region.name())) {
                    sameRegion.add(ip);
                }
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

    /** Returns whether a peer announces fewer pieces of a version than the given number. */
    boolean anyIncomplete(String model, long version, int pieceCount) {
        return announcements.values().stream()
                .anyMatch(announcement -> announcement.isFor(model, version)
                        && time.since(announcement.receivedNanos()).compareTo(ANNOUNCEMENT_LIFETIME) < 0
                        && announcement.bitmap().cardinality() < pieceCount);
    }

    /**
     * The name of a region, and the regions of all data centres.
     *
     * @param name name of the region
     * @param regionByDataCentre region of each data centre
     */
    record Region(String name, Map<String, String> regionByDataCentre) {}

    private record Announcement(HeldPieces held, BitSet bitmap, long receivedNanos) {
        private boolean isFor(String model, long version) {
            return held.getModel().equals(model) && held.getVersion() == version;
        }
    }
}
