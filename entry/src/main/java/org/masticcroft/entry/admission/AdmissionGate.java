package org.masticcroft.entry.admission;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.entry.policy.Policies;
import org.masticcroft.entry.suspect.SuspectTable;
import org.masticcroft.entry.upstream.RoutingCandidates;
import org.masticcroft.entry.upstream.UpstreamQuery;
import org.masticcroft.entry.upstream.UpstreamTable;
import org.masticcroft.entry.upstream.Weights;
import org.masticcroft.kernel.config.ConfigState;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.kernel.config.RankConfig;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.routing.Choice;
import org.masticcroft.kernel.routing.RoutingRequest;
import org.masticcroft.kernel.routing.UpstreamChooser;
import org.masticcroft.kernel.routing.UpstreamLoad;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.ports.instance.Instance;

/**
 * Queues requests by upstream group and grants them slots on upstreams as these become free. Each group has its own
 * admission queue: capacity belongs to a group, and a full engine group must not delay orders to a plain service.
 * Thread-safe; see the lock order of the entry package.
 */
public final class AdmissionGate {
    static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private static final int MAX_CANDIDATE_NAMES = 8;
    private static final int MAX_CHOOSE_ATTEMPTS = 3;

    /** Time for which a request waits while no upstream serves its target, for example during a restart. */
    private static final long NO_UPSTREAM_TIMEOUT_NANOS = 2_000_000_000L;

    private final TimeSource time;
    private final ConfigView config;
    private final Policies policies;
    private final UpstreamTable upstreams;
    private final SuspectTable suspects;
    private final UniformRandomProvider random;
    private final Map<String, GroupQueue> groups = new TreeMap<>();
    private SortedMap<String, RankConfig> ranks = new TreeMap<>();
    private String pluginName = "";

    private AdmissionGate(
            TimeSource time,
            ConfigView config,
            Policies policies,
            UpstreamTable upstreams,
            SuspectTable suspects,
            UniformRandomProvider random) {
        this.time = time;
        this.config = config;
        this.policies = policies;
        this.upstreams = upstreams;
        this.suspects = suspects;
        this.random = random;
    }

    /** Creates a gate without waiting requests. */
    public static AdmissionGate of(
            TimeSource time,
            ConfigView config,
            Policies policies,
            UpstreamTable upstreams,
            SuspectTable suspects,
            UniformRandomProvider random) {
        return new AdmissionGate(
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(config, "config"),
                Objects.requireNonNull(policies, "policies"),
                Objects.requireNonNull(upstreams, "upstreams"),
                Objects.requireNonNull(suspects, "suspects"),
                Objects.requireNonNull(random, "random"));
    }

    /** Enqueues a request for a slot; the waiter is notified of the result. */
    public synchronized void submit(Waiter waiter) {
        applyPolicies();
        if (!upstreams.candidates(waiter.query()).served()) {
            waiter.onRefused(ErrorCode.NO_UPSTREAM, RETRY_AFTER);
            return;
        }
        String group = waiter.query().target().group();
        groups.computeIfAbsent(group, this::newGroup).offer(waiter, time.nanoTime());
        grantFreeSlots(group);
    }

    /** Removes a request that no longer needs a slot. */
    public synchronized void cancel(Waiter waiter) {
        GroupQueue queue = groups.get(waiter.query().target().group());
        if (queue != null) {
            queue.cancel(waiter, time.nanoTime());
        }
    }

    /**
     * Releases a slot and grants it to the next request.
     *
     * @param grant the slot
     * @param actualTokens actual cost in tokens
     * @param health health of the upstream as observed by the attempt
     */
    public synchronized void release(Grant grant, int actualTokens, UpstreamTable.Health health) {
        suspects.onEnd(grant.upstream(), grant.fingerprint());
        upstreams.release(grant.instance().id(), health);
        grant.queue().finish(grant.ticket(), actualTokens, time.nanoTime());
        grantFreeSlots();
    }

    /** Grants the free slots of all groups to waiting requests. */
    public synchronized void grantFreeSlots() {
        applyPolicies();
        long now = time.nanoTime();
        groups.forEach((group, queue) -> {
            queue.offerDeferred(now);
            grantFreeSlots(group);
        });
    }

    /** Returns the number of waiting requests by group and rank. */
    public synchronized SortedMap<String, SortedMap<String, Integer>> queueLengths() {
        SortedMap<String, SortedMap<String, Integer>> lengths = new TreeMap<>();
        groups.forEach((group, queue) -> lengths.put(group, queue.lengths()));
        return lengths;
    }

    /** Returns the number of waiting requests by rank, without ranks that have none. */
    public SortedMap<String, Integer> queueLengthsByRank() {
        SortedMap<String, Integer> lengths = new TreeMap<>();
        queueLengths()
                .values()
                .forEach(group -> group.forEach((rank, count) -> lengths.merge(rank, count, Integer::sum)));
        return lengths;
    }

    /** Returns the number of waiting requests. */
    public int waiting() {
        return queueLengthsByRank().values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    private GroupQueue newGroup(String group) {
        return new GroupQueue(policies.admission(pluginName).create(ranks));
    }

    private void applyPolicies() {
        ConfigState state = config.state();
        String configured = state.config().policies().admission();
        if (!configured.equals(pluginName) || !state.config().ranks().equals(ranks)) {
            pluginName = configured;
            ranks = new TreeMap<>(state.config().ranks());
            groups.values().removeIf(GroupQueue::isEmpty);
            groups.values()
                    .forEach(queue ->
                            queue.replace(policies.admission(pluginName).create(ranks), time.nanoTime()));
        }
    }

    private void grantFreeSlots(String group) {
        GroupQueue queue = groups.get(group);
        UpstreamChooser chooser =
                policies.chooser(config.state().config().policies().chooser());
        long now = time.nanoTime();
        placeRequests(queue, chooser);
        while (!queue.hasMaxPolled() && pollNext(group, queue, now)) {
            placeRequests(queue, chooser);
        }
    }

    private boolean pollNext(String group, GroupQueue queue, long now) {
        if (upstreams.hasFreeSlot(group, false)) {
            return queue.pollNext(now);
        }
        return queue.hasUrgent() && upstreams.hasFreeSlot(group, true) && queue.pollUrgent(now);
    }

    private void placeRequests(GroupQueue queue, UpstreamChooser chooser) {
        long now = time.nanoTime();
        for (GroupQueue.PolledRequest request : queue.polled()) {
            Optional<Grant> grant = place(request, chooser);
            if (grant.isPresent()) {
                queue.removePolled(request);
                request.waiter().onGranted(grant.get());
            } else if (now - request.polledNanos() > NO_UPSTREAM_TIMEOUT_NANOS
                    && !upstreams.candidates(request.waiter().query()).served()) {
                queue.refuse(request, now);
            }
        }
    }

    private Optional<Grant> place(GroupQueue.PolledRequest request, UpstreamChooser chooser) {
        Waiter waiter = request.waiter();
        UpstreamQuery query = withSuspectIsolation(waiter);
        for (int i = 0; i < MAX_CHOOSE_ATTEMPTS; i++) {
            RoutingCandidates candidates = upstreams.candidates(query);
            Optional<Choice> choice = chooser.choose(routingRequest(waiter), candidates.upstreams(), random);
            if (choice.isEmpty()) {
                return Optional.empty();
            }
            Optional<Instance> instance = upstreams.acquire(choice.get().upstream());
            if (instance.isPresent()) {
                return Optional.of(grant(request, candidates, choice.get(), instance.get()));
            }
        }
        return Optional.empty();
    }

    private Grant grant(
            GroupQueue.PolledRequest request, RoutingCandidates candidates, Choice choice, Instance instance) {
        Waiter waiter = request.waiter();
        suspects.onStart(choice.upstream(), waiter.fingerprint());
        List<String> names = candidates.upstreams().stream()
                .map(UpstreamLoad::upstream)
                .limit(MAX_CANDIDATE_NAMES)
                .toList();
        EventLog.info(
                Event.ROUTING_DECISION,
                "request",
                waiter.ticket().requestId(),
                "target",
                waiter.query().target().name(),
                "upstream",
                choice.upstream(),
                "reason",
                choice.reason(),
                "candidates",
                candidates.upstreams().size(),
                "names",
                String.join(",", names),
                "digest",
                candidates.weights().map(Weights::digest).orElse("none"));
        return new Grant(
                request.ticket(),
                request.queue(),
                choice.upstream(),
                instance,
                candidates.weights(),
                candidates.upstreams().size(),
                names,
                choice.reason(),
                waiter.fingerprint());
    }

    private UpstreamQuery withSuspectIsolation(Waiter waiter) {
        UpstreamQuery query = waiter.query();
        Predicate<String> mayRun = upstream -> suspects.mayRunOn(upstream, waiter.fingerprint());
        return new UpstreamQuery(
                query.target(),
                query.pinnedDigest(),
                query.urgent(),
                query.excluded(),
                query.allowed().and(mayRun));
    }

    private static RoutingRequest routingRequest(Waiter waiter) {
        return new RoutingRequest(
                waiter.ticket().requestId(),
                waiter.prefixHash(),
                waiter.ticket().estimatedTokens(),
                Set.of());
    }
}
