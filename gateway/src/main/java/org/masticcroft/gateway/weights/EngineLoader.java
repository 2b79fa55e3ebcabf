package org.masticcroft.gateway.weights;

import java.time.Duration;
import java.util.BitSet;
import java.util.Optional;
import java.util.OptionalLong;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.metrics.WeightsMetrics;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Orders the engine to load the staged weights after all of them have been read back and verified, and reads them back
 * once more after the engine has accepted the order. Only that shows what the engine took, because an order may reach
 * it late. The load is in doubt from the order to the end of this confirmation. Layers that turn out to be unsound are
 * given up and loaded again.
 */
final class EngineLoader {
    /** Time for which an order is not repeated while no report shows its effect. */
    private static final Duration REPEAT_DELAY = Duration.ofMillis(600);

    /** Longest time for which the engine may leave read-backs of a confirmation unanswered. */
    private static final Duration MAX_CONFIRMATION_TIME = Duration.ofSeconds(20);

    /** Stands for the version of layers of which none is known to be sound. */
    private static final long NO_VERSION = 0;

    private final LocalEngine engine;
    private final TimeSource time;
    private final DecisionLog log;
    private final WeightsMetrics metrics;
    private final Runnable onDoubt;
    private Phase phase = Phase.SETTLED;
    private Optional<EngineReport> report = Optional.empty();
    private boolean verificationWanted;

    private Optional<LoadOrder> lastOrder = Optional.empty();
    private boolean orderInFlight;

    /** The first of the orders without an answer, of which the engine may have accepted one or may do so later. */
    private Optional<LoadOrder> unanswered = Optional.empty();

    private boolean orderSent;
    private Moment orderSentAt;

    private Optional<LoadConfirmation> confirmation = Optional.empty();

    /** Version whose load was confirmed last; 0 if none was since the start of the engine. */
    private long confirmedVersion;

    /** Orders that the engine had accepted when what it held was last known to be sound. */
    private long trustedOrders;

    /** Version that it had loaded then; empty for whichever it had. */
    private OptionalLong trustedVersion = OptionalLong.empty();

    /** Start of the engine whose load an earlier process of this sidecar had in doubt. */
    private OptionalLong doubtedStartMillis = OptionalLong.empty();

    private BitSet unsoundPieces = new BitSet();

    /** The loaded layers that may have been unsound when they were taken, and their version. */
    private BitSet unsoundLayers = new BitSet();

    private long unsoundVersion;

    /**
     * Creates a loader.
     *
     * @param engine the engine
     * @param time time source
     * @param log log of the process
     * @param metrics metrics of the process
     * @param onDoubt called before an order is sent, so that entries can be told that the load is in doubt
     */
    EngineLoader(LocalEngine engine, TimeSource time, DecisionLog log, WeightsMetrics metrics, Runnable onDoubt) {
        this.engine = engine;
        this.time = time;
        this.log = log;
        this.metrics = metrics;
        this.onDoubt = onDoubt;
        this.orderSentAt = Moment.now(time);
    }

    /** Orders no load on the verification in progress, because the target version has changed. */
    void cancelVerification() {
        verificationWanted = false;
        orderSent = false;
    }

    /**
     * Doubts what a process of the engine has loaded, unless this process has ordered a load, which it confirms itself.
     */
    void applyDoubt(long engineStartMillis) {
        if (lastOrder.isEmpty()) {
            doubtedStartMillis = OptionalLong.of(engineStartMillis);
            report.ifPresent(this::applyDoubtOfEarlierProcess);
        }
    }

    private void applyDoubtOfEarlierProcess(EngineReport newReport) {
        boolean sameStart = doubtedStartMillis.equals(OptionalLong.of(newReport.startMillis()));
        if (sameStart && lastOrder.isEmpty() && phase == Phase.SETTLED) {
            doubtedStartMillis = OptionalLong.empty();
            doubtAllLayers(newReport, "reported-before");
        }
    }

    /** Returns whether the engine has loaded a version, and soundly; it no longer needs the staged pieces. */
    boolean confirmed(long version) {
        return confirmedVersion == version;
    }

    /** Returns whether the engine may have taken unsound layers, so that it must get no requests. */
    boolean inDoubt() {
        return phase != Phase.SETTLED;
    }

    /** Returns whether the staged pieces must stay as they are, because the engine may take or has just taken them. */
    boolean needsStagedPieces() {
        return phase == Phase.ORDERED || phase == Phase.CONFIRMING;
    }

    /**
     * Applies a report of the engine, which may show that it has restarted, or has accepted an order that it did not
     * answer or that this process did not send. What it holds at the first report counts as sound unless an entry
     * doubts it, because an earlier process of this sidecar has ordered it.
     */
    void applyReport(EngineReport newReport) {
        if (report.isEmpty()) {
            trustedOrders = newReport.ordersBegun();
        } else if (report.get().startMillis() != newReport.startMillis()) {
            forgetOrders();
        }
        report = Optional.of(newReport);
        if (hasAcceptedUnanswered(newReport)) {
            writeOutcome(unanswered.get(), "ACCEPTED_UNANSWERED");
            confirm(unanswered.get());
        } else if (phase == Phase.SETTLED && holdsUnknownLoad(newReport)) {
            doubtAllLayers(newReport, "unknown-order");
        }
        applyDoubtOfEarlierProcess(newReport);
        confirmation.ifPresent(LoadConfirmation::resume);
        if (confirmationTimedOut()) {
            doubtAllLayers(newReport, "not-confirmed");
        }
        if (phase == Phase.UNSOUND) {
            giveUpUnsoundLayers(newReport);
        }
    }

    private boolean hasAcceptedUnanswered(EngineReport newReport) {
        return phase == Phase.ORDERED
                && !orderInFlight
                && unanswered
                        .filter(first -> newReport.ordersBegun() > first.ordersBegun())
                        .isPresent();
    }

    private boolean confirmationTimedOut() {
        return confirmation
                .filter(current -> current.started().age(time).compareTo(MAX_CONFIRMATION_TIME) > 0)
                .isPresent();
    }

    private void doubtAllLayers(EngineReport newReport, String reason) {
        log.write(
                Event.LOAD_UNSOUND,
                "version",
                newReport.loadedVersion().orElse(0),
                "reason",
                reason,
                "orders",
                newReport.ordersBegun(),
                "trusted_orders",
                trustedOrders,
                "trusted_version",
                trustedVersion.orElse(0));
        confirmation.ifPresent(LoadConfirmation::cancel);
        confirmation = Optional.empty();
        phase = Phase.UNSOUND;
        unsoundVersion = NO_VERSION;
    }

    /** Returns whether the engine has accepted an order that this process has not confirmed. */
    private boolean holdsUnknownLoad(EngineReport newReport) {
        boolean otherVersion = trustedVersion.isPresent()
                && newReport.loadedVersion().isPresent()
                && !newReport.loadedVersion().equals(trustedVersion);
        return newReport.ordersBegun() > trustedOrders || (newReport.ordersBegun() == trustedOrders && otherVersion);
    }

    /**
     * Verifies the staged pieces and then sends the order. Does nothing if the engine is busy, if an order was sent
     * recently, if a load is being confirmed, or if the staged pieces are incomplete or being verified.
     *
     * @param staging staging area of the engine
     */
    void loadWhenReady(EngineStaging staging) {
        if (report.isEmpty()
                || !mayOrder(staging.manifest().version())
                || sentRecently()
                || staging.verifying()
                || !staging.complete()) {
            return;
        }
        verificationWanted = true;
        long startMillis = report.get().startMillis();
        staging.verify(() -> sendOrder(staging, startMillis));
    }

    /** Returns whether the engine could load a version now; unsound layers of it have to be given up first. */
    private boolean mayOrder(long version) {
        boolean unsoundLoaded = phase == Phase.UNSOUND && isLoaded(unsoundVersion) && version == unsoundVersion;
        return !report.get().busy() && !orderInFlight && phase != Phase.CONFIRMING && !unsoundLoaded;
    }

    private boolean isLoaded(long version) {
        return report.get().loadedVersion().equals(OptionalLong.of(version));
    }

    private boolean sentRecently() {
        return orderSent && orderSentAt.age(time).compareTo(REPEAT_DELAY) < 0;
    }

    private void sendOrder(EngineStaging staging, long startMillis) {
        boolean sameProcess = report.get().startMillis() == startMillis;
        if (!verificationWanted || !sameProcess || !mayOrder(staging.manifest().version())) {
            return;
        }
        orderSent = true;
        orderSentAt = Moment.now(time);
        phase = Phase.ORDERED;
        orderInFlight = true;
        LoadOrder sent = new LoadOrder(staging, report.get().ordersBegun(), orderSentAt);
        lastOrder = Optional.of(sent);
        onDoubt.run();
        engine.load(
                staging.manifest().model(),
                staging.manifest().version(),
                sent.ordersBegun(),
                outcome -> applyOutcome(sent, outcome));
    }

    private void applyOutcome(LoadOrder sent, LocalEngine.OrderOutcome outcome) {
        metrics.ordered(outcome.name(), sent.staging().oldestReadBackAge());
        writeOutcome(sent, outcome.name());
        if (lastOrder.filter(newest -> newest == sent).isEmpty()) {
            // The engine has restarted since.
            return;
        }
        orderInFlight = false;
        if (outcome == LocalEngine.OrderOutcome.BEGUN) {
            confirm(sent);
        } else if (outcome == LocalEngine.OrderOutcome.UNKNOWN) {
            unanswered = unanswered.or(() -> Optional.of(sent));
        } else if (unanswered.isEmpty()) {
            settle();
        }
    }

    /** Reads the staged pieces back; those uploaded since the order was sent may have been bad when it was accepted. */
    private void confirm(LoadOrder accepted) {
        phase = Phase.CONFIRMING;
        unanswered = Optional.empty();
        if (accepted.version() != unsoundVersion) {
            unsoundPieces = new BitSet();
            unsoundLayers = new BitSet();
        }
        unsoundVersion = accepted.version();
        confirmation = Optional.of(LoadConfirmation.start(
                engine, accepted.staging().manifest(), time, unsound -> applyConfirmation(accepted, unsound)));
    }

    private void applyConfirmation(LoadOrder accepted, BitSet unsound) {
        long tookMillis = confirmation.get().started().age(time).toMillis();
        confirmation = Optional.empty();
        unsound.or(accepted.staging().uploadedSince(accepted.sentAt()));
        unsoundPieces = unsound;
        log.write(
                unsound.isEmpty() ? Event.LOAD_CONFIRMED : Event.LOAD_UNSOUND,
                "version",
                accepted.version(),
                "pieces",
                unsound,
                "took_ms",
                tookMillis,
                "since_order_ms",
                accepted.sentAt().age(time).toMillis());
        if (unsound.isEmpty()) {
            trustedOrders = accepted.ordersBegun() + 1;
            trustedVersion = OptionalLong.of(accepted.version());
        }
        settle();
        if (phase == Phase.SETTLED) {
            confirmedVersion = accepted.version();
        }
    }

    /** Ends the doubt about a load, unless the engine still holds layers that were unsound. */
    private void settle() {
        phase = unsoundPieces.isEmpty() && unsoundLayers.isEmpty() ? Phase.SETTLED : Phase.UNSOUND;
    }

    /** Makes the engine keep one layer only; the others are then missing and are loaded again. */
    private void giveUpUnsoundLayers(EngineReport newReport) {
        LayerRange loaded = newReport.loadedLayers();
        if (newReport.busy()) {
            return;
        }
        if (newReport.loadedVersion().isEmpty()) {
            forgetUnsoundOutside(loaded);
            return;
        }
        if (loaded.end() < 2 || sentRecently()) {
            return;
        }
        if (isLoaded(unsoundVersion)) {
            unsoundLayers.or(loaded.needing(
                    unsoundPieces, lastOrder.get().staging().manifest().pieceCount()));
        } else {
            unsoundLayers.set(0, loaded.end());
            unsoundVersion = newReport.loadedVersion().getAsLong();
        }
        unsoundPieces = new BitSet();
        // The first layer is not kept: an engine that holds the first layers counts as one that holds all of them.
        int firstSound = unsoundLayers.nextClearBit(1);
        LayerRange kept = LayerRange.of(Math.min(firstSound, loaded.end() - 1));
        orderSent = true;
        orderSentAt = Moment.now(time);
        engine.keepLayers(
                newReport.model(),
                unsoundVersion,
                kept,
                newReport.ordersBegun(),
                outcome -> log.write(
                        Event.ENGINE_ORDER,
                        "order",
                        "keep-layers",
                        "model",
                        newReport.model(),
                        "version",
                        unsoundVersion,
                        "layers",
                        kept,
                        "unsound",
                        unsoundLayers,
                        "outcome",
                        outcome));
    }

    private void forgetUnsoundOutside(LayerRange loaded) {
        unsoundLayers.clear(0, loaded.from());
        unsoundLayers.clear(loaded.end(), Math.max(loaded.end(), unsoundLayers.length()));
    }

    private void forgetOrders() {
        phase = Phase.SETTLED;
        lastOrder = Optional.empty();
        orderInFlight = false;
        unanswered = Optional.empty();
        orderSent = false;
        verificationWanted = false;
        confirmedVersion = 0;
        trustedOrders = 0;
        trustedVersion = OptionalLong.empty();
        confirmation.ifPresent(LoadConfirmation::cancel);
        confirmation = Optional.empty();
        unsoundPieces = new BitSet();
        unsoundLayers = new BitSet();
    }

    private void writeOutcome(LoadOrder sent, String outcome) {
        log.write(
                Event.ENGINE_ORDER,
                "order",
                "load",
                "model",
                sent.staging().manifest().model(),
                "version",
                sent.version(),
                "orders",
                sent.ordersBegun(),
                "outcome",
                outcome,
                "sent_ms",
                sent.sentAt().age(time).toMillis(),
                "read_back_ms",
                sent.staging().oldestReadBackAge().toMillis());
    }

    /** State of the last load. */
    private enum Phase {
        /** The engine has taken nothing that is in doubt. */
        SETTLED,
        /** An order was sent; the engine has not shown whether it accepts it. */
        ORDERED,
        /** The engine has accepted the order, and the staged pieces are being read back. */
        CONFIRMING,
        /** The engine has taken unsound layers. */
        UNSOUND
    }

    private record LoadOrder(EngineStaging staging, long ordersBegun, Moment sentAt) {
        private long version() {
            return staging.manifest().version();
        }
    }
}
