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
 * Queues requests by upstream group and starts them as upstreams have room. Each group has an admission queue of its
 * own: capacity belongs to a group, and a full engine group must not hold up orders to a plain service. Safe for use by
 * many threads; see the lock order of the entry package.
 */
public final class AdmissionGate {
    static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private static final int MAX_NAMED_CANDIDATES = 8;
    private static final int MAX_CHOICES = 3;

    /** Time for which a waiting request tolerates that no upstream serves its target, for example a restart. */
    private static final long UNSERVED_NANOS = 2_000_000_000L;

    private final TimeSource time;
    private final ConfigView config;
    private final Policies policies;
    private final UpstreamTable upstreams;
    private final SuspectTable suspects;
    private final UniformRandomProvider random;
    private final Map<String, GroupQueue> groups = new TreeMap<>();
    private SortedMap<String, RankConfig> ranks = new TreeMap<>();
    private String plugin = "";

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

    /** Lets a request wait for a place; the waiter is told the result. */
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

    /** Removes a request that does not want a place any more. */
    public synchronized void cancel(Waiter waiter) {
        GroupQueue queue = groups.get(waiter.query().target().group());
        if (queue != null) {
            queue.cancel(waiter, time.nanoTime());
        }
    }

    /**
     * Gives a place back and starts the next request.
     *
     * @param grant the place
     * @param actualTokens true cost in tokens
     * @param health what the attempt says about the upstream
     */
    public synchronized void release(Grant grant, int actualTokens, UpstreamTable.Health health) {
        suspects.onEnd(grant.upstream(), grant.fingerprint());
        upstreams.release(grant.instance().id(), health);
        grant.queue().finish(grant.ticket(), actualTokens, time.nanoTime());
        grantFreeSlots();
    }

    /** Starts requests for which there is room by now. */
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

    /** Returns the number of waiting requests by rank; ranks without any are left out. */
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
        return new GroupQueue(policies.admission(plugin).create(ranks));
    }

    private void applyPolicies() {
        ConfigState state = config.state();
        String wanted = state.config().policies().admission();
        if (!wanted.equals(plugin) || !state.config().ranks().equals(ranks)) {
            plugin = wanted;
            ranks = new TreeMap<>(state.config().ranks());
            groups.values().removeIf(GroupQueue::isEmpty);
            groups.values()
                    .forEach(queue -> queue.replace(policies.admission(plugin).create(ranks), time.nanoTime()));
        }
    }

    private void grantFreeSlots(String group) {
        GroupQueue queue = groups.get(group);
        UpstreamChooser chooser =
                policies.chooser(config.state().config().policies().chooser());
        long now = time.nanoTime();
        placeHeld(queue, chooser);
        while (!queue.isHoldingFull() && holdNext(group, queue, now)) {
            placeHeld(queue, chooser);
        }
    }

    private boolean holdNext(String group, GroupQueue queue, long now) {
        if (upstreams.hasRoom(group, false)) {
            return queue.pollToHeld(now);
        }
        return queue.hasUrgent() && upstreams.hasRoom(group, true) && queue.takeUrgentToHeld(now);
    }

    private void placeHeld(GroupQueue queue, UpstreamChooser chooser) {
        long now = time.nanoTime();
        for (GroupQueue.Held held : queue.held()) {
            Optional<Grant> grant = place(held, chooser);
            if (grant.isPresent()) {
                queue.placed(held);
                held.waiter().onGranted(grant.get());
            } else if (now - held.sinceNanos() > UNSERVED_NANOS
                    && !upstreams.candidates(held.waiter().query()).served()) {
                queue.unserved(held, now);
            }
        }
    }

    private Optional<Grant> place(GroupQueue.Held held, UpstreamChooser chooser) {
        Waiter waiter = held.waiter();
        UpstreamQuery query = withIsolation(waiter);
        for (int i = 0; i < MAX_CHOICES; i++) {
            RoutingCandidates candidates = upstreams.candidates(query);
            Optional<Choice> choice = chooser.choose(routingRequest(waiter), candidates.upstreams(), random);
            if (choice.isEmpty()) {
                return Optional.empty();
            }
            Optional<Instance> instance = upstreams.acquire(choice.get().upstream());
            if (instance.isPresent()) {
                return Optional.of(grant(held, candidates, choice.get(), instance.get()));
            }
        }
        return Optional.empty();
    }

    private Grant grant(GroupQueue.Held held, RoutingCandidates candidates, Choice choice, Instance instance) {
        Waiter waiter = held.waiter();
        suspects.onStart(choice.upstream(), waiter.fingerprint());
        List<String> names = candidates.upstreams().stream()
                .map(UpstreamLoad::upstream)
                .limit(MAX_NAMED_CANDIDATES)
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
                held.ticket(),
                held.queue(),
                choice.upstream(),
                instance,
                candidates.weights(),
                candidates.upstreams().size(),
                names,
                choice.reason(),
                waiter.fingerprint());
    }

    private UpstreamQuery withIsolation(Waiter waiter) {
        UpstreamQuery query = waiter.query();
        Predicate<String> isolated = upstream -> suspects.mayRunOn(upstream, waiter.fingerprint());
        return new UpstreamQuery(
                query.target(),
                query.pinnedDigest(),
                query.urgent(),
                query.excluded(),
                query.allowed().and(isolated));
    }

    private static RoutingRequest routingRequest(Waiter waiter) {
        return new RoutingRequest(
                waiter.ticket().requestId(),
                waiter.prefixHash(),
                waiter.ticket().estimatedTokens(),
                Set.of());
    }
}
