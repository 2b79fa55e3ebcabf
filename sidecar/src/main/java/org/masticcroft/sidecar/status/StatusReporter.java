package org.masticcroft.sidecar.status;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.masticcroft.kernel.config.ConfigView;
import org.masticcroft.ports.engine.EngineState;
import org.masticcroft.sidecar.SidecarSettings;
import org.masticcroft.sidecar.WeightsSide;
import org.masticcroft.sidecar.target.Target;
import org.masticcroft.wire.generated.ReadyModel;
import org.masticcroft.wire.generated.StatusReply;
import org.masticcroft.wire.generated.UpstreamLoad;

/** Builds status replies from memory; never blocks. */
public final class StatusReporter {
    private final SidecarSettings settings;
    private final ConfigView config;
    private final Supplier<UpstreamLoad> load;
    private final Optional<WeightsSide> weights;

    private StatusReporter(
            SidecarSettings settings, ConfigView config, Supplier<UpstreamLoad> load, Optional<WeightsSide> weights) {
        this.settings = settings;
        this.config = config;
        this.load = load;
        this.weights = weights;
    }

    /** Creates the reporter of one sidecar; {@code weights} is empty beside a plain service. */
    public static StatusReporter of(
            SidecarSettings settings, ConfigView config, Supplier<UpstreamLoad> load, Optional<WeightsSide> weights) {
        return new StatusReporter(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(config, "config"),
                Objects.requireNonNull(load, "load"),
                Objects.requireNonNull(weights, "weights"));
    }

    /** Returns the status now. */
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
        weights.ifPresent(side -> addWeights(reply, side));
        return reply.build();
    }

    private static void addWeights(StatusReply.Builder reply, WeightsSide side) {
        Optional<EngineState> state = side.monitor().latest();
        reply.setEngineIncarnation(state.map(EngineState::incarnation).orElse(""));
        state.map(EngineState::loaded).orElse(List.of()).stream()
                .filter(loaded -> !side.reconciler().isRetiring(loaded.digest()))
                .forEach(loaded -> reply.addReady(ReadyModel.newBuilder()
                        .setModel(loaded.model())
                        .setVersion(loaded.version())
                        .setWeightsDigest(loaded.digest().value())));
        target(side)
                .ifPresent(target -> reply.setTargetDigest(target.digest().value())
                        .setChunksHeld(side.held().chunks(target.digest()).cardinality())
                        .setChunksTotal(side.held().total(target.digest())));
    }

    /** Returns the first configured weights that are not loaded yet, otherwise the first configured ones. */
    private static Optional<Target> target(WeightsSide side) {
        List<Target> targets = side.reconciler().targets();
        return targets.stream()
                .filter(target -> !side.monitor().isLoaded(target.digest()))
                .findFirst()
                .or(() -> targets.stream().findFirst());
    }
}
