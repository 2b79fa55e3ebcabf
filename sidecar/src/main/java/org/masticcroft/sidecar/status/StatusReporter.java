package org.masticcroft.sidecar.status;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.ports.engine.EngineState;
import org.masticcroft.sidecar.SidecarSettings;
import org.masticcroft.sidecar.WeightsComponents;
import org.masticcroft.sidecar.target.Target;
import org.masticcroft.wire.generated.ReadyModel;
import org.masticcroft.wire.generated.StatusReply;
import org.masticcroft.wire.generated.UpstreamLoad;

/** Builds the sidecar's status replies from state in memory; never blocks. */
public final class StatusReporter {
    private final SidecarSettings settings;
    private final ConfigView config;
    private final Supplier<UpstreamLoad> load;
    private final Optional<WeightsComponents> weights;

    private StatusReporter(
            SidecarSettings settings,
            ConfigView config,
            Supplier<UpstreamLoad> load,
            Optional<WeightsComponents> weights) {
        this.settings = settings;
        this.config = config;
        this.load = load;
        this.weights = weights;
    }

    /** Creates the reporter of one sidecar; {@code weights} is empty beside a plain service. */
    public static StatusReporter of(
            SidecarSettings settings,
            ConfigView config,
            Supplier<UpstreamLoad> load,
            Optional<WeightsComponents> weights) {
        return new StatusReporter(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(config, "config"),
                Objects.requireNonNull(load, "load"),
                Objects.requireNonNull(weights, "weights"));
    }

    /** Returns the current status. */
    public StatusReply status() {
        StatusReply.Builder reply = StatusReply.newBuilder()
                .setInstance(settings.identity().instance())
                .setRole("sidecar")
                .setRegion(settings.identity().region())
                .setDataCentre(settings.identity().dataCentre())
                .setConfigVersion(config.state().version())
                .setConfigAgeMs(Math.max(0, config.age().toMillis()))
                .setConfigConfirmed(config.confirmed())
                .setLoad(load.get());
        weights.ifPresent(components -> addWeights(reply, components));
        return reply.build();
    }

    private static void addWeights(StatusReply.Builder reply, WeightsComponents components) {
        Optional<EngineState> state = components.monitor().latest();
        reply.setEngineIncarnation(state.map(EngineState::incarnation).orElse(""));
        state.map(EngineState::loaded).orElse(List.of()).stream()
                .filter(loaded -> !components.reconciler().isRetiring(loaded.digest()))
                .forEach(loaded -> reply.addReady(ReadyModel.newBuilder()
                        .setModel(loaded.model())
                        .setVersion(loaded.version())
                        .setWeightsDigest(loaded.digest().value())));
        reportedTarget(components)
                .ifPresent(target -> reply.setTargetDigest(target.digest().value())
                        .setChunksHeld(components.held().chunks(target.digest()).cardinality())
                        .setChunksTotal(components.held().chunkCount(target.digest())));
    }

    /** Returns the first configured weights that are not loaded; if all are loaded, the first configured weights. */
    private static Optional<Target> reportedTarget(WeightsComponents components) {
        List<Target> targets = components.reconciler().targets();
        return targets.stream()
                .filter(target -> !components.monitor().isLoaded(target.digest()))
                .findFirst()
                .or(() -> targets.stream().findFirst());
    }
}
