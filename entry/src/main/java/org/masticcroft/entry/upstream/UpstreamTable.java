package org.masticcroft.entry.upstream;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.masticcroft.kernel.breaker.CircuitBreaker;
import org.masticcroft.kernel.config.FleetConfig;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.routing.UpstreamLoad;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.wire.generated.StatusReply;

/** The upstreams that this entry may use. Safe for use by many threads; see the lock order of the entry package. */
public final class UpstreamTable {
    /** Upstreams of one group that an entry uses; bounds the control traffic of large fleets. */
    static final int SUBSET_SIZE = 24;

    /** Time without a message after which the status is requested. */
    static final long SILENCE_NANOS = 2_000_000_000L;

    private static final int FAILURES_UNTIL_UNREACHABLE = 2;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String entry;
    private final String region;
    private final TimeSource time;
    private final BreakerFactory breakers;
    private final Map<String, Upstream> upstreams = new TreeMap<>();

    private UpstreamTable(String entry, String region, TimeSource time, BreakerFactory breakers) {
        this.entry = entry;
        this.region = region;
        this.time = time;
        this.breakers = breakers;
    }

    /**
     * Creates an empty table.
     *
     * @param entry instance id of this entry, which decides its subset of large groups
     * @param region region of this entry
     * @param time clock
     * @param breakers creates the circuit breaker of an upstream
     */
    public static UpstreamTable of(String entry, String region, TimeSource time, BreakerFactory breakers) {
        return new UpstreamTable(
                Objects.requireNonNull(entry, "entry"),
                Objects.requireNonNull(region, "region"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(breakers, "breakers"));
    }

    /** Takes over the instance list and the upstreams that the configuration drains. */
    public synchronized void refresh(List<Instance> instances, FleetConfig config) {
        Map<String, Instance> wanted = subset(sidecars(instances));
        upstreams.keySet().retainAll(wanted.keySet());
        wanted.forEach((id, instance) -> {
            Upstream known = upstreams.get(id);
            if (known == null || !isSameProcess(known.instance, instance)) {
                known = new Upstream(instance, breakers.create(id), time.nanoTime());
                upstreams.put(id, known);
            }
            Upstream upstream = known;
            change(upstream, () -> {
                upstream.listedLeaving = instance.state() == Instance.State.LEAVING;
                upstream.drained = config.drained().contains(id);
                upstream.wanted = wantedDigests(config, upstream.group());
            });
        });
    }

    /**
     * Returns the sidecars whose status is to be requested, and notes that it is: those from which nothing was heard
     * for a while, and more often those that do not serve yet what the configuration wants, because responses carry
     * load but not readiness.
     */
    public synchronized List<Instance> takeSilent() {
        long now = time.nanoTime();
        List<Instance> silent = new ArrayList<>();
        for (Upstream upstream : upstreams.values()) {
            if (upstream.needsStatus(now) && !upstream.statusPending) {
                upstream.statusPending = true;
                silent.add(upstream.instance);
            }
        }
        return silent;
    }

    /**
     * Takes over a status. The reply of another process that took over the address counts as a failure.
     *
     * @param instance instance that was asked
     * @param status its reply
     * @param askedNanos monotonic time of the request; a reply to an earlier request does not cancel a leaving notice
     */
    public synchronized void onStatus(Instance instance, StatusReply status, long askedNanos) {
        if (!status.getInstance().equals(instance.id())) {
            onStatusFailure(instance, false);
            return;
        }
        find(instance.id())
                .ifPresent(upstream -> change(upstream, () -> {
                    heardFrom(upstream);
                    upstream.statusPending = false;
                    upstream.statusNanos = time.nanoTime();
                    upstream.ready = status.getReadyList();
                    upstream.incarnation = status.getEngineIncarnation();
                    upstream.targetDigest = status.getTargetDigest();
                    upstream.chunksHeld = status.getChunksHeld();
                    upstream.chunksTotal = status.getChunksTotal();
                    upstream.configVersion = status.getConfigVersion();
                    if (status.hasLoad()) {
                        applyLoad(upstream, status.getLoad());
                    }
                    if (upstream.noticed && askedNanos - upstream.noticeNanos > 0 && !upstream.draining) {
                        upstream.noticed = false;
                    }
                }));
    }

    /**
     * Notes that a status request was not answered.
     *
     * @return whether the sidecar counts as unreachable since this failure
     */
    public synchronized boolean onStatusFailure(Instance instance, boolean connectionRefused) {
        Optional<Upstream> found = find(instance.id());
        boolean before = found.map(upstream -> upstream.unreachable).orElse(true);
        found.ifPresent(upstream -> change(upstream, () -> {
            upstream.statusPending = false;
            upstream.statusFailures++;
            if (connectionRefused || upstream.statusFailures >= FAILURES_UNTIL_UNREACHABLE) {
                upstream.unreachable = true;
            }
            upstream.heardNanos = time.nanoTime() - SILENCE_NANOS / 2;
            upstream.statusNanos = time.nanoTime();
        }));
        return !before && found.orElseThrow().unreachable;
    }

    /** Takes over the load that came with a response. */
    public synchronized void onLoad(String instance, org.masticcroft.wire.generated.UpstreamLoad load) {
        find(instance)
                .ifPresent(upstream -> change(upstream, () -> {
                    heardFrom(upstream);
                    applyLoad(upstream, load);
                }));
    }

    /** Excludes an upstream whose sidecar is about to stop. */
    public synchronized void onLeaving(String instance) {
        find(instance)
                .ifPresent(upstream -> change(upstream, () -> {
                    upstream.noticed = true;
                    upstream.noticeNanos = time.nanoTime();
                }));
    }

    /** Notes that a sidecar refused a request because its engine does not serve the digest. */
    public synchronized void onNotLoaded(String instance, String digest) {
        find(instance)
                .ifPresent(upstream -> change(
                        upstream,
                        () -> upstream.ready = upstream.ready.stream()
                                .filter(model -> !model.getWeightsDigest().equals(digest))
                                .toList()));
    }

    /** Sends no further request to an upstream for a while, because it just refused one as busy. */
    public synchronized void onBusy(String instance, long forNanos) {
        find(instance).ifPresent(upstream -> upstream.busyUntilNanos = time.nanoTime() + forNanos);
    }

    /** Returns whether any upstream of the group has room. */
    public synchronized boolean hasRoom(String group, boolean urgent) {
        long now = time.nanoTime();
        return upstreams.values().stream()
                .anyMatch(upstream -> upstream.group().equals(group)
                        && upstream.takesWork()
                        && upstream.hasRoom(urgent, now)
                        && upstream.breaker.isCallPermitted(now));
    }

    /**
     * Returns the upstreams that a request could go to now. Upstreams with the version in force come first; those with
     * an earlier version are candidates only while none of the former has room.
     */
    public synchronized RoutingCandidates candidates(UpstreamQuery query) {
        List<Upstream> members = upstreams.values().stream()
                .filter(upstream -> upstream.group().equals(query.target().group()))
                .filter(Upstream::takesWork)
                .toList();
        if (query.target().isService()) {
            List<Upstream> services =
                    members.stream().filter(Upstream::isService).toList();
            return new RoutingCandidates(Optional.empty(), withRoom(services, query), !services.isEmpty());
        }
        boolean served = false;
        for (Weights weights : query.target().weights()) {
            if (query.pinnedDigest().map(weights.digest()::equals).orElse(true)) {
                List<Upstream> ready = members.stream()
                        .filter(upstream -> upstream.serves(query.target(), weights))
                        .toList();
                served |= !ready.isEmpty();
                List<UpstreamLoad> candidates = withRoom(ready, query);
                if (!candidates.isEmpty()) {
                    return new RoutingCandidates(Optional.of(weights), candidates, true);
                }
            }
        }
        return new RoutingCandidates(Optional.empty(), List.of(), served);
    }

    /**
     * Takes one place on an upstream.
     *
     * @return the instance of its sidecar, or empty if the upstream takes no work any more
     */
    public synchronized Optional<Instance> acquire(String upstreamId) {
        Upstream upstream = upstreams.get(upstreamId);
        if (upstream == null || !upstream.takesWork() || !upstream.breaker.tryAcquire(time.nanoTime())) {
            return Optional.empty();
        }
        upstream.ownInFlight++;
        return Optional.of(upstream.instance);
    }

    /** Gives back a place on an upstream and reports the result to its circuit breaker. */
    public synchronized void release(String instance, Health health) {
        find(instance).ifPresent(upstream -> {
            upstream.ownInFlight = Math.max(0, upstream.ownInFlight - 1);
            long now = time.nanoTime();
            CircuitBreaker.State before = upstream.breaker.state(now);
            if (health == Health.GOOD) {
                upstream.breaker.onSuccess(now);
            } else if (health == Health.BAD || before == CircuitBreaker.State.HALF_OPEN) {
                upstream.breaker.onFailure(now);
            }
            CircuitBreaker.State after = upstream.breaker.state(now);
            if (before != after) {
                EventLog.info(Event.BREAKER_CHANGED, "upstream", upstream.id(), "from", before, "to", after);
            }
        });
    }

    /** Returns the state of all upstreams. */
    public synchronized List<UpstreamView> views() {
        long now = time.nanoTime();
        return upstreams.values().stream()
                .map(upstream -> new UpstreamView(
                        upstream.id(),
                        upstream.instance.id(),
                        upstream.group(),
                        upstream.isService() ? "service" : "engine",
                        upstream.instance.region(),
                        isRoutable(upstream),
                        isRoutable(upstream) ? "" : upstream.reasonForNoWork(),
                        upstream.readyDigests(),
                        upstream.targetDigest,
                        upstream.chunksHeld,
                        upstream.chunksTotal,
                        upstream.slots,
                        upstream.reported,
                        upstream.ownInFlight,
                        upstream.heard ? (now - upstream.heardNanos) / NANOS_PER_MILLI : -1,
                        upstream.breaker.state(now).name(),
                        upstream.configVersion,
                        upstream.incarnation))
                .toList();
    }

    private List<UpstreamLoad> withRoom(List<Upstream> ready, UpstreamQuery query) {
        long now = time.nanoTime();
        Set<String> excluded = new HashSet<>(query.excluded());
        boolean onlyExcluded = ready.stream().allMatch(upstream -> excluded.contains(upstream.id()));
        return ready.stream()
                .filter(upstream -> onlyExcluded || !excluded.contains(upstream.id()))
                .filter(upstream -> upstream.hasRoom(query.urgent(), now))
                .filter(upstream -> upstream.breaker.isCallPermitted(now))
                .filter(upstream -> query.allowed().test(upstream.id()))
                .map(upstream -> load(upstream, now))
                .toList();
    }

    private UpstreamLoad load(Upstream upstream, long now) {
        long age = upstream.slots == 0 ? Long.MAX_VALUE : (now - upstream.reportNanos) / NANOS_PER_MILLI;
        return new UpstreamLoad(
                upstream.id(),
                upstream.knownSlots(),
                upstream.ownInFlight,
                upstream.reported,
                age,
                upstream.instance.region().equals(region));
    }

    private void heardFrom(Upstream upstream) {
        upstream.heard = true;
        upstream.unreachable = false;
        upstream.statusFailures = 0;
        upstream.heardNanos = time.nanoTime();
    }

    private void applyLoad(Upstream upstream, org.masticcroft.wire.generated.UpstreamLoad load) {
        upstream.reportNanos = time.nanoTime();
        upstream.slots = load.getSlots();
        upstream.reported = load.getInFlight() + load.getQueued();
        upstream.others = Math.max(0, upstream.reported - upstream.ownInFlight);
        upstream.draining = load.getDraining();
    }

    private void change(Upstream upstream, Runnable update) {
        boolean before = isRoutable(upstream);
        Set<String> readyBefore = upstream.readyDigests();
        update.run();
        boolean after = isRoutable(upstream);
        if (after && (!before || !readyBefore.equals(upstream.readyDigests()))) {
            EventLog.info(Event.UPSTREAM_ROUTABLE, "upstream", upstream.id(), "ready", upstream.readyDigests());
        } else if (before && !after) {
            EventLog.info(Event.UPSTREAM_NOT_ROUTABLE, "upstream", upstream.id(), "reason", upstream.reasonForNoWork());
        }
    }

    private static Set<String> wantedDigests(FleetConfig config, String group) {
        Set<String> wanted = new HashSet<>();
        config.deployments().values().stream()
                .filter(deployment -> deployment.group().equals(group))
                .forEach(deployment -> config.versionOf(deployment)
                        .ifPresent(version -> wanted.add(version.digest().value())));
        return wanted;
    }

    private static boolean isRoutable(Upstream upstream) {
        return upstream.takesWork() && (upstream.isService() || !upstream.ready.isEmpty());
    }

    private Optional<Upstream> find(String instance) {
        return upstreams.values().stream()
                .filter(upstream -> upstream.instance.id().equals(instance))
                .findFirst();
    }

    private static boolean isSameProcess(Instance one, Instance other) {
        return one.id().equals(other.id())
                && one.host().equals(other.host())
                && one.peerPort() == other.peerPort()
                && one.upstream().equals(other.upstream());
    }

    /** A live instance replaces a leaving one of the same upstream. */
    private static Collection<Instance> sidecars(List<Instance> instances) {
        Map<String, Instance> byUpstream = new LinkedHashMap<>();
        instances.stream()
                .filter(instance -> instance.upstream().isPresent())
                .sorted(Comparator.comparing(instance -> instance.state() == Instance.State.LIVE))
                .forEach(instance ->
                        byUpstream.put(instance.upstream().orElseThrow().id(), instance));
        return byUpstream.values();
    }

    private Map<String, Instance> subset(Collection<Instance> sidecars) {
        Map<String, List<Instance>> groups = sidecars.stream()
                .collect(Collectors.groupingBy(
                        instance -> instance.upstream().orElseThrow().group()));
        Map<String, Instance> wanted = new TreeMap<>();
        groups.values()
                .forEach(members -> members.stream()
                        .sorted(Comparator.comparingLong(this::rendezvous))
                        .limit(SUBSET_SIZE)
                        .forEach(instance ->
                                wanted.put(instance.upstream().orElseThrow().id(), instance)));
        return wanted;
    }

    private long rendezvous(Instance instance) {
        String pair = entry + ' ' + instance.upstream().orElseThrow().id();
        return Hashing.sipHash24().hashString(pair, StandardCharsets.UTF_8).asLong();
    }

    /** Result of an attempt as far as it says something about the upstream. */
    public enum Health {
        /** The upstream or its sidecar answered as intended. */
        GOOD,
        /** The upstream or its sidecar failed. */
        BAD,
        /** The attempt ended early and says nothing. */
        UNKNOWN
    }

    /** Returns the names of the groups that have upstreams. */
    public synchronized Set<String> groups() {
        return upstreams.values().stream().map(Upstream::group).collect(Collectors.toCollection(TreeSet::new));
    }
}
