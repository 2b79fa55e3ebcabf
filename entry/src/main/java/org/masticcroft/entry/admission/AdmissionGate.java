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
import org.masticcroft.entry.upstream.Options;
import org.masticcroft.entry.upstream.Search;
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
        if (!upstreams.options(waiter.search()).served()) {
            waiter.onRefused(ErrorCode.NO_UPSTREAM, RETRY_AFTER);
            return;
        }
        String group = waiter.search().target().group();
        groups.computeIfAbsent(group, this::newGroup).offer(waiter, time.nanoTime());
        pump(group);
    }

    /** Removes a request that does not want a place any more. */
    public synchronized void withdraw(Waiter waiter) {
        GroupQueue queue = groups.get(waiter.search().target().group());
        if (queue != null) {
            queue.withdraw(waiter, time.nanoTime());
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
        pumpAll();
    }

    /** Starts requests for which there is room by now. */
    public synchronized void pumpAll() {
        applyPolicies();
        long now = time.nanoTime();
        groups.forEach((group, queue) -> {
            queue.offerDeferred(now);
            pump(group);
        });
    }

    /** Returns the number of waiting requests by group and rank. */
    public synchronized SortedMap<String, SortedMap<String, Integer>> lengths() {
        SortedMap<String, SortedMap<String, Integer>> lengths = new TreeMap<>();
        groups.forEach((group, queue) -> lengths.put(group, queue.lengths()));
        return lengths;
    }

    /** Returns the number of waiting requests by rank; ranks without any are left out. */
    public SortedMap<String, Integer> lengthsByRank() {
        SortedMap<String, Integer> lengths = new TreeMap<>();
        lengths().values().forEach(group -> group.forEach((rank, count) -> lengths.merge(rank, count, Integer::sum)));
        return lengths;
    }

    /** Returns the number of waiting requests. */
    public int waiting() {
        return lengthsByRank().values().stream().mapToInt(Integer::intValue).sum();
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

    private void pump(String group) {
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
                    && !upstreams.options(held.waiter().search()).served()) {
                queue.unserved(held, now);
            }
        }
    }

    private Optional<Grant> place(GroupQueue.Held held, UpstreamChooser chooser) {
        Waiter waiter = held.waiter();
        Search search = withIsolation(waiter);
        for (int i = 0; i < MAX_CHOICES; i++) {
            Options options = upstreams.options(search);
            Optional<Choice> choice = chooser.choose(routingRequest(waiter), options.candidates(), random);
            if (choice.isEmpty()) {
                return Optional.empty();
            }
            Optional<Instance> instance = upstreams.acquire(choice.get().upstream());
            if (instance.isPresent()) {
                return Optional.of(grant(held, options, choice.get(), instance.get()));
            }
        }
        return Optional.empty();
    }

    private Grant grant(GroupQueue.Held held, Options options, Choice choice, Instance instance) {
        Waiter waiter = held.waiter();
        suspects.onStart(choice.upstream(), waiter.fingerprint());
        List<String> names = options.candidates().stream()
                .map(UpstreamLoad::upstream)
                .limit(MAX_NAMED_CANDIDATES)
                .toList();
        EventLog.info(
                Event.ROUTING_DECISION,
                "request",
                waiter.ticket().requestId(),
                "target",
                waiter.search().target().name(),
                "upstream",
                choice.upstream(),
                "reason",
                choice.reason(),
                "candidates",
                options.candidates().size(),
                "names",
                String.join(",", names),
                "digest",
                options.weights().map(Weights::digest).orElse("none"));
        return new Grant(
                held.ticket(),
                held.queue(),
                choice.upstream(),
                instance,
                options.weights(),
                options.candidates().size(),
                names,
                choice.reason(),
                waiter.fingerprint());
    }

    private Search withIsolation(Waiter waiter) {
        Search search = waiter.search();
        Predicate<String> isolated = upstream -> suspects.mayRunOn(upstream, waiter.fingerprint());
        return new Search(
                search.target(),
                search.pinned(),
                search.urgent(),
                search.excluded(),
                search.allowed().and(isolated));
    }

    private static RoutingRequest routingRequest(Waiter waiter) {
        return new RoutingRequest(
                waiter.ticket().requestId(),
                waiter.prefixHash(),
                waiter.ticket().estimatedTokens(),
                Set.of());
    }
}
