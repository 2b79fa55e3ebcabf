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

/** Accepts dispatches from entries, refuses those that cannot run, and runs the others on worker threads. */
public final class Dispatcher {
    /** Upper bound on the remaining time of a dispatch, so that the deadline on the monotonic clock cannot overflow. */
    private static final long MAX_REMAINING_MS = TimeUnit.DAYS.toMillis(1);
    /**
     * Time after its deadline at which a non-idempotent request is aborted as well. Until then its real outcome can
     * still arrive and be written to the account. Without this limit, an upstream that hangs would occupy the slot
     * forever.
     */
    private static final long ORDER_GRACE_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final String upstream;
    private final UpstreamConnector connector;
    private final BooleanSupplier draining;
    private final SlotTable slotTable;
    private final int maxSlots;
    private final RecentDispatches recentDispatches;
    private final DispatchRecorder recorder;
    private final Executor workers;
    private final Executor control;
    private final TimeSource time;
    private final AtomicLong sequence = new AtomicLong();
    private final Map<PeerResponder, ActiveDispatch> activeByResponder = new ConcurrentHashMap<>();

    /**
     * Creates a dispatcher.
     *
     * @param draining returns whether new dispatches are refused because the process drains
     * @param bounds limits on running and waiting dispatches
     * @param executors executors for running requests and for cancelling them
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
        this.slotTable = new SlotTable(this::slotCount, bounds.queueLimit);
        this.recentDispatches = new RecentDispatches(time);
        this.recorder = Objects.requireNonNull(recorder, "recorder");
        this.workers = executors.workers;
        this.control = executors.control;
        this.time = time;
    }

    /** Returns the load of the upstream, as reported to entries. */
    public UpstreamLoad load() {
        return UpstreamLoad.newBuilder()
                .setUpstream(upstream)
                .setSlots(slotCount())
                .setInFlight(slotTable.runningCount())
                .setQueued(slotTable.waitingCount())
                .setDraining(draining.getAsBoolean())
                .build();
    }

    /** Returns the number of dispatches that wait or run. */
    public int unfinishedCount() {
        return activeByResponder.size();
    }

    /** Accepts or refuses a dispatch; the result is sent to {@code responder}. Does not block. */
    public void dispatch(Dispatch dispatch, PeerResponder responder) {
        Optional<RecentDispatches.State> earlier = recentDispatches.register(dispatch);
        if (earlier.isPresent()) {
            refuseDuplicate(dispatch, responder, earlier.get());
            return;
        }
        long remainingMs = Math.min(Math.max(0, dispatch.getRemainingMs()), MAX_REMAINING_MS);
        long deadline = time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(remainingMs);
        ActiveDispatch active =
                new ActiveDispatch(dispatch, responder, time.now(), deadline, sequence.getAndIncrement());
        activeByResponder.put(responder, active);
        Optional<ErrorCode> refusal = refusalReason(active);
        if (refusal.isPresent()) {
            end(active, Outcome.refusal(refusal.get(), "refused before execution: " + refusal.get()));
        } else {
            admit(active);
        }
    }

    /** Stops a dispatch that its entry has cancelled. A running non-idempotent request is not interrupted. */
    public void cancel(PeerResponder responder) {
        Optional.ofNullable(activeByResponder.get(responder)).ifPresent(active -> stop(active, ErrorCode.CANCELLED));
    }

    /**
     * Refuses waiting dispatches and stops running ones whose deadline has passed, and starts waiting dispatches for
     * which a slot is free.
     */
    public void sweep() {
        long now = time.nanoTime();
        for (ActiveDispatch active : slotTable.all()) {
            if (now - active.deadlineNanos() >= 0) {
                stop(active, ErrorCode.DEADLINE_EXCEEDED);
            }
            if (now - active.deadlineNanos() >= ORDER_GRACE_NANOS && active.requestStop(ErrorCode.DEADLINE_EXCEEDED)) {
                cancelAtUpstream(active);
            }
        }
        slotTable.startWaiting().forEach(this::start);
    }

    /** Ends all dispatches: waiting ones were not executed, running ones may have been. */
    public void close() {
        for (ActiveDispatch active : slotTable.all()) {
            if (slotTable.removeWaiting(active)) {
                end(active, Outcome.refusal(ErrorCode.DRAINING, "the sidecar is shutting down"));
            } else if (active.requestStop(ErrorCode.DRAINING)) {
                end(
                        active,
                        Outcome.failure(
                                Verdict.MAY_HAVE_RUN,
                                ErrorCode.DRAINING,
                                "the sidecar is shutting down",
                                Outcome.ResponseSummary.none()));
                active.abort();
            }
        }
    }

    private int slotCount() {
        return Math.min(connector.slots(), maxSlots);
    }

    /** Returns the reason for which a dispatch is refused on arrival; empty if it is accepted. */
    private Optional<ErrorCode> refusalReason(ActiveDispatch active) {
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
        return expiryReason(active).or(() -> connector.refusalReason(dispatch));
    }

    private Optional<ErrorCode> expiryReason(ActiveDispatch active) {
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
        SlotTable.Admission admission = slotTable.offer(active);
        admission.preempted().ifPresent(victim -> {
            recorder.recordPreemption(victim.dispatch(), active.dispatch());
            cancelAtUpstream(victim);
        });
        switch (admission.kind()) {
            case STARTED -> start(active);
            case REFUSED -> end(active, Outcome.refusal(ErrorCode.BUSY, "all slots are in use and the queue is full"));
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
            outcome = reserveAndRun(active);
        } catch (RuntimeException e) {
            EventLog.error(Event.INTERNAL_ERROR, e, "request", active.dispatch().getRequestId());
            outcome = Outcome.failure(
                    Verdict.MAY_HAVE_RUN, ErrorCode.INTERNAL, "internal error", Outcome.ResponseSummary.none());
        }
        end(active, outcome);
    }

    private Outcome reserveAndRun(ActiveDispatch active) {
        Dispatch dispatch = active.dispatch();
        // Draining is checked on arrival only; dispatches accepted before it began run to completion. Deadline,
        // claim and weights may have changed while the dispatch waited for a slot, so they are checked again.
        Optional<ErrorCode> refusal = expiryReason(active).or(() -> connector.refusalReason(dispatch));
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
        if (slotTable.removeWaiting(active)) {
            end(active, Outcome.refusal(reason, "the request was stopped while it waited for a slot"));
        } else if (active.dispatch().getIdempotent() && active.requestStop(reason)) {
            cancelAtUpstream(active);
        }
    }

    private void cancelAtUpstream(ActiveDispatch active) {
        try {
            control.execute(() -> cancelAndAbort(active));
        } catch (RejectedExecutionException e) {
            active.abort();
        }
    }

    /** Cancels at the upstream before closing the call, so that its slot is free when the next request is sent. */
    private void cancelAndAbort(ActiveDispatch active) {
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
            active.abort();
        }
    }

    private void end(ActiveDispatch active, Outcome outcome) {
        List<ActiveDispatch> next = slotTable.release(active);
        if (active.markEnded()) {
            recentDispatches.recordEnd(active.dispatch(), outcome.verdict());
            recorder.recordEnd(active.dispatch(), active.arrival(), outcome);
            active.responder().finish(Envelope.newBuilder().setDispatchEnd(endMessage(active.dispatch(), outcome)));
            activeByResponder.remove(active.responder());
        }
        next.forEach(this::start);
    }

    private void refuseDuplicate(Dispatch dispatch, PeerResponder responder, RecentDispatches.State earlier) {
        recorder.recordDuplicate(dispatch);
        ErrorCode code = earlier.verdict().isPresent() ? ErrorCode.ALREADY_RUN : ErrorCode.ORDER_IN_PROGRESS;
        Verdict verdict = earlier.verdict().orElse(Verdict.MAY_HAVE_RUN);
        Outcome outcome = Outcome.failure(
                verdict, code, "this attempt has already been dispatched", Outcome.ResponseSummary.none());
        responder.finish(Envelope.newBuilder().setDispatchEnd(endMessage(dispatch, outcome)));
    }

    private DispatchEnd endMessage(Dispatch dispatch, Outcome outcome) {
        Outcome.ResponseSummary response = outcome.response();
        return DispatchEnd.newBuilder()
                .setRequestId(dispatch.getRequestId())
                .setAttempt(dispatch.getAttempt())
                .setVerdict(org.masticcroft.wire.generated.Verdict.valueOf(
                        outcome.verdict().name()))
                .setErrorCode(outcome.code().map(Enum::name).orElse(""))
                .setErrorMessage(outcome.message())
                .setByteCount(response.byteCount())
                .setAnswerSha256(ByteString.copyFrom(response.sha256()))
                .setWeightsDigest(response.weightsDigest())
                .setEngineIncarnation(response.incarnation())
                .setPromptTokens(response.usage().promptTokens())
                .setCompletionTokens(response.usage().completionTokens())
                .setLoad(load())
                .setUpstreamCrashed(outcome.crashed())
                .build();
    }

    /**
     * Limits on concurrent dispatches.
     *
     * @param maxSlots maximum number of running dispatches, even if the upstream reports more slots
     * @param queueLimit maximum number of waiting dispatches
     */
    public record Bounds(int maxSlots, int queueLimit) {}

    /**
     * Executors of the dispatcher.
     *
     * @param workers runs requests; needs at least as many threads as there are slots
     * @param control sends cancellations
     */
    public record Executors(Executor workers, Executor control) {
        public Executors {
            Objects.requireNonNull(workers, "workers");
            Objects.requireNonNull(control, "control");
        }
    }
}
