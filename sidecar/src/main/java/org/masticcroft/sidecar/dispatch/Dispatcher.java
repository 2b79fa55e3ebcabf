package org.masticcroft.sidecar.dispatch;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.wire.PeerResponder;
import org.masticcroft.wire.generated.Dispatch;
import org.masticcroft.wire.generated.DispatchEnd;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.UpstreamLoad;

/** Takes dispatches from entries, refuses those that cannot run, and runs the others on worker threads. */
public final class Dispatcher {
    /** Keeps the sum with the monotonic clock within its range. */
    private static final long LONGEST_REMAINING_MS = TimeUnit.DAYS.toMillis(1);
    /**
     * Time past its deadline after which a non-idempotent request is given up as well. Until then its true outcome may
     * still arrive for the account; without a bound an upstream that hangs would keep the slot for good.
     */
    private static final long ORDER_GRACE_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final String upstream;
    private final UpstreamConnector connector;
    private final BooleanSupplier draining;
    private final SlotTable slots;
    private final int maxSlots;
    private final RecentDispatches recent;
    private final DispatchRecorder recorder;
    private final Executor workers;
    private final Executor control;
    private final TimeSource time;
    private final AtomicLong sequence = new AtomicLong();
    private final Map<PeerResponder, ActiveDispatch> byResponder = new ConcurrentHashMap<>();

    /**
     * Creates a dispatcher.
     *
     * @param draining whether new dispatches are refused
     * @param bounds bounds on running and waiting dispatches
     * @param executors threads for running requests and for stopping them
     */
    public Dispatcher(
            String upstream,
            UpstreamConnector connector,
            BooleanSupplier draining,
            Bounds bounds,
            DispatchRecorder recorder,
            Executors executors,
            TimeSource time) {
        this.upstream = Objects.requireNonNull(upstream, "upstream");
        this.connector = Objects.requireNonNull(connector, "connector");
        this.draining = Objects.requireNonNull(draining, "draining");
        this.maxSlots = bounds.maxSlots;
        this.slots = new SlotTable(this::slotCount, bounds.queueLimit);
        this.recent = new RecentDispatches(time);
        this.recorder = Objects.requireNonNull(recorder, "recorder");
        this.workers = executors.workers;
        this.control = executors.control;
        this.time = time;
    }

    /** Returns the load of the upstream as entries see it. */
    public UpstreamLoad load() {
        return UpstreamLoad.newBuilder()
                .setUpstream(upstream)
                .setSlots(slotCount())
                .setInFlight(slots.runningCount())
                .setQueued(slots.waitingCount())
                .setDraining(draining.getAsBoolean())
                .build();
    }

    /** Returns the number of dispatches that wait or run. */
    public int unfinishedCount() {
        return byResponder.size();
    }

    /** Takes a dispatch. Does not block. */
    public void dispatch(Dispatch dispatch, PeerResponder responder) {
        Optional<RecentDispatches.Seen> earlier = recent.note(dispatch);
        if (earlier.isPresent()) {
            refuseDuplicate(dispatch, responder, earlier.get());
            return;
        }
        long remainingMs = Math.min(Math.max(0, dispatch.getRemainingMs()), LONGEST_REMAINING_MS);
        long deadline = time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(remainingMs);
        ActiveDispatch active =
                new ActiveDispatch(dispatch, responder, time.now(), deadline, sequence.getAndIncrement());
        byResponder.put(responder, active);
        Optional<ErrorCode> refusal = refusal(active);
        if (refusal.isPresent()) {
            end(active, Outcome.refusal(refusal.get(), "refused before execution: " + refusal.get()));
        } else {
            admit(active);
        }
    }

    /** Stops a dispatch whose entry does not want it any more. A non-idempotent one that runs is not interrupted. */
    public void cancel(PeerResponder responder) {
        Optional.ofNullable(byResponder.get(responder)).ifPresent(active -> stop(active, ErrorCode.CANCELLED));
    }

    /** Ends waiting dispatches past their deadline, stops running ones, and starts those that can start. */
    public void sweep() {
        long now = time.nanoTime();
        for (ActiveDispatch active : slots.all()) {
            if (now - active.deadlineNanos() >= 0) {
                stop(active, ErrorCode.DEADLINE_EXCEEDED);
            }
            if (now - active.deadlineNanos() >= ORDER_GRACE_NANOS && active.requestStop(ErrorCode.DEADLINE_EXCEEDED)) {
                stopAtUpstream(active);
            }
        }
        slots.startWaiting().forEach(this::start);
    }

    /** Ends all dispatches with their true verdict. */
    public void close() {
        for (ActiveDispatch active : slots.all()) {
            if (slots.removeWaiting(active)) {
                end(active, Outcome.refusal(ErrorCode.DRAINING, "the sidecar stops"));
            } else if (active.requestStop(ErrorCode.DRAINING)) {
                end(
                        active,
                        Outcome.failure(
                                Verdict.MAY_HAVE_RUN, ErrorCode.DRAINING, "the sidecar stops", Outcome.Report.none()));
                active.stop();
            }
        }
    }

    private int slotCount() {
        return Math.min(connector.slots(), maxSlots);
    }

    /** Returns why a dispatch must not start now. Checked on arrival and again before it is sent. */
    private Optional<ErrorCode> refusal(ActiveDispatch active) {
        Dispatch dispatch = active.dispatch();
        if (draining.getAsBoolean()) {
            return Optional.of(ErrorCode.DRAINING);
        }
        if (!dispatch.getUpstream().equals(upstream)) {
            return Optional.of(ErrorCode.NO_UPSTREAM);
        }
        if (!dispatch.getIdempotent() && !dispatch.hasClaim()) {
            return Optional.of(ErrorCode.IDEMPOTENCY_KEY_REQUIRED);
        }
        return lateness(active).or(() -> connector.refusal(dispatch));
    }

    private Optional<ErrorCode> lateness(ActiveDispatch active) {
        Dispatch dispatch = active.dispatch();
        if (dispatch.hasClaim()
                && time.now().toEpochMilli() >= dispatch.getClaim().getDispatchByEpochMs()) {
            return Optional.of(ErrorCode.CLAIM_LAPSED);
        }
        return time.nanoTime() - active.deadlineNanos() >= 0
                ? Optional.of(ErrorCode.DEADLINE_EXCEEDED)
                : Optional.empty();
    }

    private void admit(ActiveDispatch active) {
        SlotTable.Admission admission = slots.offer(active);
        admission.preempted().ifPresent(victim -> {
            recorder.preempted(victim.dispatch(), active.dispatch());
            stopAtUpstream(victim);
        });
        switch (admission.kind()) {
            case STARTED -> start(active);
            case REFUSED -> end(active, Outcome.refusal(ErrorCode.BUSY, "all slots and the queue are taken"));
            default -> {}
        }
    }

    private void start(ActiveDispatch active) {
        try {
            workers.execute(() -> run(active));
        } catch (RejectedExecutionException e) {
            end(active, Outcome.refusal(ErrorCode.BUSY, "no worker thread is free"));
        }
    }

    private void run(ActiveDispatch active) {
        Outcome outcome;
        try {
            outcome = runReserved(active);
        } catch (RuntimeException e) {
            EventLog.error(Event.INTERNAL_ERROR, e, "request", active.dispatch().getRequestId());
            outcome =
                    Outcome.failure(Verdict.MAY_HAVE_RUN, ErrorCode.INTERNAL, "internal error", Outcome.Report.none());
        }
        end(active, outcome);
    }

    private Outcome runReserved(ActiveDispatch active) {
        Dispatch dispatch = active.dispatch();
        // Drain is checked on arrival only: what was accepted before runs to its end.
        Optional<ErrorCode> refusal = lateness(active).or(() -> connector.refusal(dispatch));
        if (refusal.isPresent()) {
            return Outcome.refusal(refusal.get(), "refused before execution: " + refusal.get());
        }
        if (!connector.reserve(dispatch)) {
            return Outcome.refusal(ErrorCode.WEIGHTS_NOT_LOADED, "the weights are being unloaded");
        }
        try {
            return new DispatchRun(active, connector, time).run();
        } finally {
            connector.release(dispatch);
        }
    }

    private void stop(ActiveDispatch active, ErrorCode reason) {
        if (slots.removeWaiting(active)) {
            end(active, Outcome.refusal(reason, "ended while it waited for a slot"));
        } else if (active.dispatch().getIdempotent() && active.requestStop(reason)) {
            stopAtUpstream(active);
        }
    }

    private void stopAtUpstream(ActiveDispatch active) {
        try {
            control.execute(() -> cancelAndClose(active));
        } catch (RejectedExecutionException e) {
            active.stop();
        }
    }

    /** Cancels at the upstream first, so that the slot is free there before the next request uses it. */
    private void cancelAndClose(ActiveDispatch active) {
        try {
            connector.cancel(active.dispatch());
        } catch (MasticcroftException e) {
            EventLog.warn(
                    Event.ATTEMPT_FAILED,
                    "request",
                    active.dispatch().getRequestId(),
                    "what",
                    "cancel",
                    "reason",
                    e.getMessage());
        } finally {
            active.stop();
        }
    }

    private void end(ActiveDispatch active, Outcome outcome) {
        List<ActiveDispatch> next = slots.release(active);
        if (active.markEnded()) {
            recent.ended(active.dispatch(), outcome.verdict());
            recorder.ended(active.dispatch(), active.arrival(), outcome);
            active.responder().finish(Envelope.newBuilder().setDispatchEnd(message(active.dispatch(), outcome)));
            byResponder.remove(active.responder());
        }
        next.forEach(this::start);
    }

    private void refuseDuplicate(Dispatch dispatch, PeerResponder responder, RecentDispatches.Seen earlier) {
        recorder.duplicate(dispatch);
        ErrorCode code = earlier.verdict().isPresent() ? ErrorCode.ALREADY_RUN : ErrorCode.ORDER_IN_PROGRESS;
        Verdict verdict = earlier.verdict().orElse(Verdict.MAY_HAVE_RUN);
        Outcome outcome = Outcome.failure(verdict, code, "this attempt was dispatched before", Outcome.Report.none());
        responder.finish(Envelope.newBuilder().setDispatchEnd(message(dispatch, outcome)));
    }

    private DispatchEnd message(Dispatch dispatch, Outcome outcome) {
        Outcome.Report report = outcome.report();
        return DispatchEnd.newBuilder()
                .setRequestId(dispatch.getRequestId())
                .setAttempt(dispatch.getAttempt())
                .setVerdict(org.masticcroft.wire.generated.Verdict.valueOf(
                        outcome.verdict().name()))
                .setErrorCode(outcome.code().map(Enum::name).orElse(""))
                .setErrorMessage(outcome.message())
                .setByteCount(report.byteCount())
                .setAnswerSha256(ByteString.copyFrom(report.sha256()))
                .setWeightsDigest(report.weightsDigest())
                .setEngineIncarnation(report.incarnation())
                .setPromptTokens(report.usage().promptTokens())
                .setCompletionTokens(report.usage().completionTokens())
                .setLoad(load())
                .setUpstreamCrashed(outcome.crashed())
                .build();
    }

    /**
     * Bounds on dispatches.
     *
     * @param maxSlots upper bound on running ones, whatever the upstream reports
     * @param queueLimit upper bound on waiting ones
     */
    public record Bounds(int maxSlots, int queueLimit) {}

    /**
     * Threads of the dispatcher.
     *
     * @param workers runs requests; with at least as many threads as there are slots
     * @param control sends cancellations
     */
    public record Executors(Executor workers, Executor control) {
        public Executors {
            Objects.requireNonNull(workers, "workers");
            Objects.requireNonNull(control, "control");
        }
    }
}
