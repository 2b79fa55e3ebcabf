package org.masticcroft.sidecar.target;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.kernel.config.FleetConfig;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.kernel.placement.EngineView;
import org.masticcroft.kernel.placement.PlacementPlanner;
import org.masticcroft.kernel.placement.PlacementStep;
import org.masticcroft.ports.engine.EngineState;
import org.masticcroft.ports.weights.Manifest;
import org.masticcroft.sidecar.lease.LeaseHolder;

/**
 * Compares the state of the engine with the configuration and executes the plan of the placement planner: fetching,
 * loading and unloading weights, and dropping staged chunks.
 */
public final class Reconciler {
    /** Limit on commands in one round, so that a planner that never reaches its target does not occupy the thread. */
    private static final int MAX_COMMANDS_PER_ROUND = 4;

    private final String group;
    private final ConfigView config;
    private final EngineMonitor monitor;
    private final LeaseHolder lease;
    private final EngineCommands commands;
    private final PlacementPlanner planner;
    private final ManifestCache manifests;
    private final FetchControl fetch;
    private final WeightsUsageTracker weightsUsage;
    private Set<WeightsDigest> readyWeights = Set.of();
    private List<PlacementStep> lastPlan = List.of();

    /** Creates the reconciler of one engine. */
    public Reconciler(
            String group,
            ConfigView config,
            EngineMonitor monitor,
            LeaseHolder lease,
            EngineCommands commands,
            PlacementPlanner planner,
            ManifestCache manifests,
            FetchControl fetch,
            WeightsUsageTracker weightsUsage) {
        this.group = Objects.requireNonNull(group, "group");
        this.config = Objects.requireNonNull(config, "config");
        this.monitor = Objects.requireNonNull(monitor, "monitor");
        this.lease = Objects.requireNonNull(lease, "lease");
        this.commands = Objects.requireNonNull(commands, "commands");
        this.planner = Objects.requireNonNull(planner, "planner");
        this.manifests = Objects.requireNonNull(manifests, "manifests");
        this.fetch = Objects.requireNonNull(fetch, "fetch");
        this.weightsUsage = Objects.requireNonNull(weightsUsage, "weightsUsage");
    }

    /** Returns the weights that the configuration assigns to this engine. */
    public List<Target> targets() {
        return Target.of(config.state().config(), group);
    }

    /** Returns whether the engine itself reports every configured set of weights as loaded. */
    public boolean ready() {
        List<Target> targets = targets();
        return !targets.isEmpty() && targets.stream().allMatch(target -> monitor.isLoaded(target.digest()));
    }

    /** Returns whether the weights accept no new requests because they are about to be unloaded. */
    public boolean isRetiring(WeightsDigest digest) {
        return weightsUsage.isRetiring(digest);
    }

    /** Runs one round: maintains the lease, refreshes the state of the engine and executes the plan. */
    public synchronized void run() {
        lease.acquireOrRenew();
        Optional<EngineState> state = monitor.refresh();
        if (config.available()) {
            targets().forEach(manifests::request);
            for (int i = 0; i < MAX_COMMANDS_PER_ROUND && state.isPresent() && executeNextStep(state.get()); i++) {
                state = monitor.refresh();
            }
        }
        logReadiness();
    }

    /** Executes the first step of the current plan; returns whether a command changed the engine. */
    private boolean executeNextStep(EngineState state) {
        fetch.updateEngineState(state);
        List<PlacementStep> plan = planner.plan(engineView(state));
        logPlan(plan);
        if (plan.stream().noneMatch(step -> step.action() == PlacementStep.Action.FETCH)) {
            fetch.stop("nothing-to-fetch");
        }
        weightsUsage.unblockAllExcept(plan.stream()
                .filter(step -> step.action() == PlacementStep.Action.UNLOAD)
                .map(PlacementStep::digest)
                .collect(Collectors.toSet()));
        if (plan.isEmpty()) {
            return false;
        }
        PlacementStep step = plan.get(0);
        return switch (step.action()) {
            case FETCH -> startFetch(step.digest());
            case LOAD -> load(state, step.digest());
            case UNLOAD -> unload(step.digest());
            case DROP_STAGED -> dropStaged(step.digest());
            default -> false;
        };
    }

    private boolean startFetch(WeightsDigest digest) {
        // A superseded lease holder must not fill the engine's memory with weights of its outdated target.
        if (fetch.isFetching(digest) || lease.confirmToken().isPresent()) {
            targets().stream()
                    .filter(target -> target.digest().equals(digest))
                    .findFirst()
                    .ifPresent(fetch::start);
        }
        return false;
    }

    private boolean load(EngineState state, WeightsDigest digest) {
        Optional<Manifest> manifest = manifests.find(digest);
        if (manifest.isEmpty() || !isConfigured(digest) || !isStaged(state, manifest.get())) {
            return false;
        }
        EngineCommands.Outcome outcome = commands.load(manifest.get());
        monitor.refresh();
        boolean loadedOtherWeights = outcome == EngineCommands.Outcome.DONE && !monitor.isLoaded(digest);
        if (outcome == EngineCommands.Outcome.INCOMPLETE || loadedOtherWeights) {
            fetch.stop("engine-did-not-load");
            fetch.invalidate(digest);
            commands.dropStaged(digest);
        }
        return outcome == EngineCommands.Outcome.DONE;
    }

    private boolean unload(WeightsDigest digest) {
        // New requests stay blocked until the plan no longer contains this step.
        return !isConfigured(digest)
                && weightsUsage.retire(digest)
                && commands.unload(digest) == EngineCommands.Outcome.DONE;
    }

    private boolean dropStaged(WeightsDigest digest) {
        boolean stillNeeded = isConfigured(digest) && !monitor.isLoaded(digest);
        if (stillNeeded) {
            return false;
        }
        fetch.invalidate(digest);
        return commands.dropStaged(digest) == EngineCommands.Outcome.DONE;
    }

    private boolean isConfigured(WeightsDigest digest) {
        return Target.isConfigured(config.state().config(), group, digest);
    }

    private EngineView engineView(EngineState state) {
        FleetConfig fleetConfig = config.state().config();
        Map<WeightsDigest, Set<EngineView.State>> weights = new LinkedHashMap<>();
        targets().forEach(target -> add(weights, target.digest(), EngineView.State.WANTED));
        state.loaded().forEach(loaded -> add(weights, loaded.digest(), EngineView.State.LOADED));
        state.staged().stream()
                .filter(staged -> !staged.chunks().isEmpty())
                .forEach(staged -> add(weights, staged.digest(), stagedState(state, staged)));
        weights.forEach((digest, states) -> {
            if (weightsUsage.inUse(digest)) {
                states.add(EngineView.State.IN_USE);
            }
        });
        return new EngineView(
                state.memoryBytes(),
                weights.entrySet().stream()
                        .map(entry -> new EngineView.Weights(
                                entry.getKey(), Target.sizeOf(fleetConfig, entry.getKey()), entry.getValue()))
                        .toList());
    }

    private EngineView.State stagedState(EngineState state, EngineState.Staged staged) {
        boolean complete = manifests
                .find(staged.digest())
                .filter(manifest -> isStaged(state, manifest))
                .isPresent();
        return complete ? EngineView.State.STAGED : EngineView.State.PARTLY_STAGED;
    }

    /** Returns whether this process verified all chunks and the engine still lists them. */
    private boolean isStaged(EngineState state, Manifest manifest) {
        return fetch.isComplete(manifest.digest())
                && state.staged(manifest.digest())
                        .filter(staged -> new HashSet<>(staged.chunks()).size() == manifest.chunkCount())
                        .isPresent();
    }

    private static void add(
            Map<WeightsDigest, Set<EngineView.State>> weights, WeightsDigest digest, EngineView.State state) {
        weights.computeIfAbsent(digest, key -> new LinkedHashSet<>()).add(state);
    }

    private void logPlan(List<PlacementStep> plan) {
        if (plan.equals(lastPlan)) {
            return;
        }
        lastPlan = plan;
        for (int i = 0; i < plan.size(); i++) {
            PlacementStep step = plan.get(i);
            EventLog.info(
                    Event.PLACEMENT_DECISION,
                    "step",
                    (i + 1) + "/" + plan.size(),
                    "action",
                    step.action(),
                    "digest",
                    step.digest(),
                    "reason",
                    step.reason(),
                    "interrupts_service",
                    step.interruptsService(),
                    "config_version",
                    config.state().version());
        }
    }

    private void logReadiness() {
        Set<WeightsDigest> loadedTargets = new HashSet<>();
        targets().stream().map(Target::digest).filter(monitor::isLoaded).forEach(loadedTargets::add);
        loadedTargets.stream()
                .filter(digest -> !readyWeights.contains(digest))
                .forEach(digest -> EventLog.info(Event.ENGINE_READY, "digest", digest));
        readyWeights.stream()
                .filter(digest -> !loadedTargets.contains(digest))
                .forEach(digest -> EventLog.warn(Event.ENGINE_NOT_READY, "digest", digest));
        readyWeights = loadedTargets;
    }

    /** Controls the fetch of weights. */
    public interface FetchControl {
        /** Starts to fetch these weights; abandons a fetch of other weights. */
        void start(Target target);

        /** Returns whether these weights are being fetched. */
        boolean isFetching(WeightsDigest digest);

        /** Abandons the fetch in progress, if there is one. */
        void stop(String reason);

        /** Sets the newest state of the engine. A new incarnation abandons the fetch and discards all progress. */
        void updateEngineState(EngineState state);

        /** Returns whether all chunks were verified and staged in the current incarnation of the engine. */
        boolean isComplete(WeightsDigest digest);

        /** Discards the progress of these weights, because their staged chunks are dropped or no longer trusted. */
        void invalidate(WeightsDigest digest);
    }
}
