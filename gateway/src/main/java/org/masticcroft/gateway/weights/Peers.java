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

/** The other sidecars of the fleet: where they are and which pieces they hold. */
final class Peers {
    /** Time for which a peer is avoided after it failed to hand out a piece. */
    private static final Duration SET_BACK = Duration.ofMillis(1500);

    /** Age after which a statement of held pieces is no longer used; they are repeated several times a second. */
    private static final Duration STATEMENT_LIFETIME = Duration.ofMillis(2500);

    private final TimeSource time;
    private final String ownIp;
    private final Map<String, UpstreamListing> byIp = new HashMap<>();
    private final Map<String, Statement> statements = new HashMap<>();
    private final Map<String, Long> setBackNanos = new HashMap<>();

    private Peers(TimeSource time, String ownIp) {
        this.time = time;
        this.ownIp = ownIp;
    }

    static Peers of(TimeSource time, String ownIp) {
        return new Peers(time, ownIp);
    }

    /** Replaces the known machines by those of a list that was read as a whole. */
    void listed(List<FleetChange> changes, String service) {
        byIp.clear();
        for (FleetChange change : changes) {
            if (change instanceof FleetChange.UpstreamListed listed
                    && listed.listing().service().equals(service)) {
                byIp.put(listed.listing().address().ip(), listed.listing());
            }
        }
    }

    boolean empty() {
        return byIp.isEmpty();
    }

    /** Returns the IP addresses of the other machines that are listed or have stated what they hold. */
    List<String> others() {
        Set<String> others = new TreeSet<>(byIp.keySet());
        others.addAll(statements.keySet());
        others.remove(ownIp);
        return List.copyOf(others);
    }

    /** Returns the IP addresses of the machines of a region that lack a version, the own one included. */
    List<String> lacking(long version, Map<String, String> regions, String region) {
        List<String> members = new ArrayList<>();
        members.add(ownIp);
        byIp.forEach((ip, listing) -> {
            if (!ip.equals(ownIp)
                    && regions.getOrDefault(listing.zone(), listing.zone()).equals(region)) {
                members.add(ip);
            }
        });
        return members;
    }

    void stated(Address sender, HeldPieces held) {
        statements.put(
                sender.ip(), new Statement(held, BitSet.valueOf(held.getBitmap().toByteArray()), time.nanoTime()));
    }

    void failed(String ip) {
        setBackNanos.put(ip, time.nanoTime());
    }

    /** Returns the peers that hold pieces of a version, as the planner sees them. */
    List<FetchView.Peer> holders(
            String model, long version, Map<String, String> regions, String region, long sinceStartMillis) {
        List<FetchView.Peer> peers = new ArrayList<>();
        statements.forEach((ip, statement) -> {
            if (statement.of(model, version) && time.since(statement.nanos()).compareTo(STATEMENT_LIFETIME) < 0) {
                UpstreamListing listing = byIp.get(ip);
                String zone = listing == null ? "" : listing.zone();
                boolean near = regions.getOrDefault(zone, zone).equals(region);
                long back = setBackNanos.containsKey(ip)
                        ? SET_BACK.minus(time.since(setBackNanos.get(ip))).toMillis()
                        : 0;
                peers.add(new FetchView.Peer(
                        ip,
                        near,
                        statement.bitmap(),
                        statement.held().getFreeUploads(),
                        sinceStartMillis + Math.max(0, back)));
            }
        });
        return peers;
    }

    /**
     * Returns the peers that stated pieces of a version and so have its manifest; those of the region, if there are
     * any.
     */
    List<String> stating(String model, long version, Region region) {
        List<String> near = new ArrayList<>();
        List<String> all = new ArrayList<>();
        statements.forEach((ip, statement) -> {
            if (statement.of(model, version) && time.since(statement.nanos()).compareTo(STATEMENT_LIFETIME) < 0) {
                all.add(ip);
                if (isIn(ip, region.regions(), region.name())) {
                    near.add(ip);
                }
            }
        });
        return near.isEmpty() ? all : near;
    }

    /** Returns whether a machine is in a region. */
    boolean isIn(String ip, Map<String, String> regions, String region) {
        UpstreamListing listing = byIp.get(ip);
        return listing != null
                && regions.getOrDefault(listing.zone(), listing.zone()).equals(region);
    }

    /** Returns whether another machine wants pieces of a version that it does not hold. */
    boolean wanted(String model, long version, int pieces) {
        return statements.values().stream()
                .anyMatch(statement -> statement.of(model, version)
                        && time.since(statement.nanos()).compareTo(STATEMENT_LIFETIME) < 0
                        && statement.bitmap().cardinality() < pieces);
    }

    /**
     * A region.
     *
     * @param name its name
     * @param regions region of each data centre
     */
    record Region(String name, Map<String, String> regions) {}

    private record Statement(HeldPieces held, BitSet bitmap, long nanos) {
        private boolean of(String model, long version) {
            return held.getModel().equals(model) && held.getVersion() == version;
        }
    }
}
