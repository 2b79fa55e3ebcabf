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

/** The upstreams to which this entry may route requests. Thread-safe; see the lock order of the entry package. */
public final class UpstreamTable {
    /** Maximum number of upstreams of a group that one entry uses; bounds the control traffic of large fleets. */
    static final int SUBSET_SIZE = 24;

    /** Time without a message from a sidecar after which its status is requested. */
    static final long CONTACT_TIMEOUT_NANOS = 2_000_000_000L;

    private static final int UNREACHABLE_FAILURE_THRESHOLD = 2;
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
     * @param entry instance id of this entry, which determines its subset of large groups
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

    /** Updates the table from the instance list and the configuration. */
    public synchronized void refresh(List<Instance> instances, FleetConfig config) {
        Map<String, Instance> selected = subset(sidecars(instances));
        upstreams.keySet().retainAll(selected.keySet());
        selected.forEach((id, instance) -> {
            Upstream known = upstreams.get(id);
            if (known == null || !isSameProcess(known.instance, instance)) {
                known = new Upstream(instance, breakers.create(id), time.nanoTime());
                upstreams.put(id, known);
            }
            Upstream upstream = known;
            updateAndLog(upstream, () -> {
                upstream.listedLeaving = instance.state() == Instance.State.LEAVING;
                upstream.drained = config.drained().contains(id);
                upstream.configuredDigests = configuredDigests(config, upstream.group());
            });
        });
    }

    /**
     * Returns the sidecars whose status must be requested now and marks their requests as pending. These are sidecars
     * that sent no message for a while or whose status is old. Sidecars that do not yet serve all configured weights
     * are polled more often, because responses carry load but not readiness.
     */
    public synchronized List<Instance> startDueStatusRequests() {
        long now = time.nanoTime();
        List<Instance> due = new ArrayList<>();
        for (Upstream upstream : upstreams.values()) {
            if (upstream.needsStatus(now) && !upstream.statusPending) {
                upstream.statusPending = true;
                due.add(upstream.instance);
            }
        }
        return due;
    }

    /**
     * Applies a status reply. A reply from another process that now uses the address counts as a failure.
     *
     * @param instance instance to which the request was sent
     * @param status the reply
     * @param requestedNanos monotonic time of the request; a leaving notice is not cancelled by a reply to a request
     *     that was sent before the notice arrived
     */
    public synchronized void onStatus(Instance instance, StatusReply status, long requestedNanos) {
        if (!status.getInstance().equals(instance.id())) {
            onStatusFailure(instance, false);
            return;
        }
        findByInstance(instance.id())
                .ifPresent(upstream -> updateAndLog(upstream, () -> {
                    recordContact(upstream);
                    upstream.statusPending = false;
                    upstream.lastStatusNanos = time.nanoTime();
                    upstream.ready = status.getReadyList();
                    upstream.incarnation = status.getEngineIncarnation();
                    upstream.targetDigest = status.getTargetDigest();
                    upstream.chunksHeld = status.getChunksHeld();
                    upstream.chunksTotal = status.getChunksTotal();
                    upstream.configVersion = status.getConfigVersion();
                    if (status.hasLoad()) {
                        applyLoad(upstream, status.getLoad());
                    }
                    if (upstream.leavingNoticed
                            && requestedNanos - upstream.leavingNoticeNanos > 0
                            && !upstream.draining) {
                        upstream.leavingNoticed = false;
                    }
                }));
    }

    /**
     * Records that a status request was not answered.
     *
     * @return whether this failure made the sidecar unreachable
     */
    public synchronized boolean onStatusFailure(Instance instance, boolean connectionRefused) {
        Optional<Upstream> found = findByInstance(instance.id());
        boolean wasUnreachable = found.map(upstream -> upstream.unreachable).orElse(true);
        found.ifPresent(upstream -> updateAndLog(upstream, () -> {
            upstream.statusPending = false;
            upstream.statusFailures++;
            if (connectionRefused || upstream.statusFailures >= UNREACHABLE_FAILURE_THRESHOLD) {
                upstream.unreachable = true;
            }
            // Requests the status again after half the contact timeout.
            upstream.lastContactNanos = time.nanoTime() - CONTACT_TIMEOUT_NANOS / 2;
            upstream.lastStatusNanos = time.nanoTime();
        }));
        return !wasUnreachable && found.orElseThrow().unreachable;
    }

    /** Applies the load that a response reported. */
    public synchronized void onLoad(String instance, org.masticcroft.wire.generated.UpstreamLoad load) {
        findByInstance(instance)
                .ifPresent(upstream -> updateAndLog(upstream, () -> {
                    recordContact(upstream);
                    applyLoad(upstream, load);
                }));
    }

    /** Excludes an upstream whose sidecar is about to stop. */
    public synchronized void onLeaving(String instance) {
        findByInstance(instance)
                .ifPresent(upstream -> updateAndLog(upstream, () -> {
                    upstream.leavingNoticed = true;
                    upstream.leavingNoticeNanos = time.nanoTime();
                }));
    }

    /** Records that a sidecar refused a request because its engine does not serve the weights digest. */
    public synchronized void onNotLoaded(String instance, String digest) {
        findByInstance(instance)
                .ifPresent(upstream -> updateAndLog(
                        upstream,
                        () -> upstream.ready = upstream.ready.stream()
                                .filter(model -> !model.getWeightsDigest().equals(digest))
                                .toList()));
    }

    /** Stops sending requests to an upstream for the given time, because it refused one as busy. */
    public synchronized void onBusy(String instance, long backoffNanos) {
        findByInstance(instance).ifPresent(upstream -> upstream.busyUntilNanos = time.nanoTime() + backoffNanos);
    }

    /** Returns whether any upstream of the group has a free slot. */
    public synchronized boolean hasFreeSlot(String group, boolean urgent) {
        long now = time.nanoTime();
        return upstreams.values().stream()
                .anyMatch(upstream -> upstream.group().equals(group)
                        && upstream.acceptsRequests()
                        && upstream.hasFreeSlot(urgent, now)
                        && upstream.breaker.isCallPermitted(now));
    }

    /**
     * Returns the upstreams to which a request can be routed now. Upstreams with the current version come first; those
     * with an earlier version are candidates only while none of the former has a free slot.
     */
    public synchronized RoutingCandidates candidates(UpstreamQuery query) {
        List<Upstream> members = upstreams.values().stream()
                .filter(upstream -> upstream.group().equals(query.target().group()))
                .filter(Upstream::acceptsRequests)
                .toList();
        if (query.target().isService()) {
            List<Upstream> services =
                    members.stream().filter(Upstream::isService).toList();
            return new RoutingCandidates(Optional.empty(), withFreeSlots(services, query), !services.isEmpty());
        }
        boolean served = false;
        for (Weights weights : query.target().weights()) {
            if (query.pinnedDigest().map(weights.digest()::equals).orElse(true)) {
                List<Upstream> ready = members.stream()
                        .filter(upstream -> upstream.serves(query.target(), weights))
                        .toList();
                served |= !ready.isEmpty();
                List<UpstreamLoad> candidates = withFreeSlots(ready, query);
                if (!candidates.isEmpty()) {
                    return new RoutingCandidates(Optional.of(weights), candidates, true);
                }
            }
        }
        return new RoutingCandidates(Optional.empty(), List.of(), served);
    }

    /**
     * Acquires a slot on an upstream.
     *
     * @return the instance that runs its sidecar, or empty if the upstream no longer accepts requests
     */
    public synchronized Optional<Instance> acquire(String upstreamId) {
        Upstream upstream = upstreams.get(upstreamId);
        if (upstream == null || !upstream.acceptsRequests() || !upstream.breaker.tryAcquire(time.nanoTime())) {
            return Optional.empty();
        }
        upstream.ownInFlight++;
        return Optional.of(upstream.instance);
    }

    /** Releases a slot on an upstream and reports the result to its circuit breaker. */
    public synchronized void release(String instance, Health health) {
        findByInstance(instance).ifPresent(upstream -> {
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
                        isRoutable(upstream) ? "" : upstream.unavailableReason(),
                        upstream.readyDigests(),
                        upstream.targetDigest,
                        upstream.chunksHeld,
                        upstream.chunksTotal,
                        upstream.slots,
                        upstream.reportedRequests,
                        upstream.ownInFlight,
                        upstream.contacted ? (now - upstream.lastContactNanos) / NANOS_PER_MILLI : -1,
                        upstream.breaker.state(now).name(),
                        upstream.configVersion,
                        upstream.incarnation))
                .toList();
    }

    private List<UpstreamLoad> withFreeSlots(List<Upstream> ready, UpstreamQuery query) {
        long now = time.nanoTime();
        Set<String> excluded = new HashSet<>(query.excluded());
        boolean onlyExcluded = ready.stream().allMatch(upstream -> excluded.contains(upstream.id()));
        return ready.stream()
                .filter(upstream -> onlyExcluded || !excluded.contains(upstream.id()))
                .filter(upstream -> upstream.hasFreeSlot(query.urgent(), now))
                .filter(upstream -> upstream.breaker.isCallPermitted(now))
                .filter(upstream -> query.allowed().test(upstream.id()))
                .map(upstream -> toLoad(upstream, now))
                .toList();
    }

    private UpstreamLoad toLoad(Upstream upstream, long now) {
        long age = upstream.slots == 0 ? Long.MAX_VALUE : (now - upstream.loadReportNanos) / NANOS_PER_MILLI;
        return new UpstreamLoad(
                upstream.id(),
                upstream.effectiveSlots(),
                upstream.ownInFlight,
                upstream.reportedRequests,
                age,
                upstream.instance.region().equals(region));
    }

    private void recordContact(Upstream upstream) {
        upstream.contacted = true;
        upstream.unreachable = false;
        upstream.statusFailures = 0;
        upstream.lastContactNanos = time.nanoTime();
    }

    private void applyLoad(Upstream upstream, org.masticcroft.wire.generated.UpstreamLoad load) {
        upstream.loadReportNanos = time.nanoTime();
        upstream.slots = load.getSlots();
        upstream.reportedRequests = load.getInFlight() + load.getQueued();
        upstream.otherEntriesRequests = Math.max(0, upstream.reportedRequests - upstream.ownInFlight);
        upstream.draining = load.getDraining();
    }

    private void updateAndLog(Upstream upstream, Runnable update) {
        boolean wasRoutable = isRoutable(upstream);
        Set<String> readyBefore = upstream.readyDigests();
        update.run();
        boolean routable = isRoutable(upstream);
        if (routable && (!wasRoutable || !readyBefore.equals(upstream.readyDigests()))) {
            EventLog.info(Event.UPSTREAM_ROUTABLE, "upstream", upstream.id(), "ready", upstream.readyDigests());
        } else if (wasRoutable && !routable) {
            EventLog.info(
                    Event.UPSTREAM_NOT_ROUTABLE, "upstream", upstream.id(), "reason", upstream.unavailableReason());
        }
    }

    private static Set<String> configuredDigests(FleetConfig config, String group) {
        Set<String> digests = new HashSet<>();
        config.deployments().values().stream()
                .filter(deployment -> deployment.group().equals(group))
                .forEach(deployment -> config.versionOf(deployment)
                        .ifPresent(version -> digests.add(version.digest().value())));
        return digests;
    }

    private static boolean isRoutable(Upstream upstream) {
        return upstream.acceptsRequests() && (upstream.isService() || !upstream.ready.isEmpty());
    }

    private Optional<Upstream> findByInstance(String instance) {
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

    /** Returns one sidecar for each upstream; a live instance replaces a leaving one. */
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
        Map<String, Instance> selected = new TreeMap<>();
        groups.values()
                .forEach(members -> members.stream()
                        .sorted(Comparator.comparingLong(this::rendezvousHash))
                        .limit(SUBSET_SIZE)
                        .forEach(instance ->
                                selected.put(instance.upstream().orElseThrow().id(), instance)));
        return selected;
    }

    private long rendezvousHash(Instance instance) {
        String pair = entry + ' ' + instance.upstream().orElseThrow().id();
        return Hashing.sipHash24().hashString(pair, StandardCharsets.UTF_8).asLong();
    }

    /** Health of an upstream as observed by one attempt. */
    public enum Health {
        /** The upstream or its sidecar answered as expected. */
        GOOD,
        /** The upstream or its sidecar failed. */
        BAD,
        /** The attempt ended too early to tell. */
        UNKNOWN
    }

    /** Returns the names of the groups that have upstreams. */
    public synchronized Set<String> groups() {
        return upstreams.values().stream().map(Upstream::group).collect(Collectors.toCollection(TreeSet::new));
    }
}
