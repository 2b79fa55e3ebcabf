package org.masticcroft.entry.request;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.masticcroft.entry.admission.Grant;
import org.masticcroft.entry.admission.Waiter;
import org.masticcroft.entry.order.ClaimLog;
import org.masticcroft.entry.order.ClaimResult;
import org.masticcroft.entry.order.StoredAnswer;
import org.masticcroft.entry.task.SerialExecutor;
import org.masticcroft.entry.task.Timers;
import org.masticcroft.entry.upstream.Target;
import org.masticcroft.entry.upstream.UpstreamQuery;
import org.masticcroft.entry.upstream.UpstreamTable.Health;
import org.masticcroft.entry.upstream.Weights;
import org.masticcroft.entry.version.ConfigAge;
import org.masticcroft.kernel.admission.Ticket;
import org.masticcroft.kernel.claim.ClaimEntry;
import org.masticcroft.kernel.claim.ClaimState;
import org.masticcroft.kernel.config.ConfigState;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.kernel.retry.AttemptFailure;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.wire.generated.DispatchEnd;
import org.masticcroft.wire.generated.DispatchHead;
import org.masticcroft.wire.generated.Envelope;

/**
 * State machine of one request, from its arrival until the caller has its answer and the outcome of an order is
 * recorded. Public methods may be called by any thread; the private ones run on the serial executor of the request, so
 * that the state needs no lock.
 */
public final class RequestLifecycle {
    /** Maximum time for which a request waits for the configuration version that it requires. */
    private static final Duration CONFIG_WAIT_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration CONFIG_POLL_INTERVAL = Duration.ofMillis(20);

    /** Maximum wait for the log to confirm a claim; an outage of the log is thus reported before callers time out. */
    private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(5);

    /** Maximum wait for the outcome of an order after its caller was told that it may have run. */
    private static final Duration OUTCOME_TIMEOUT = Duration.ofSeconds(60);

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration BUSY_BACKOFF = Duration.ofMillis(25);
    private static final int MAX_BUSY_DOUBLINGS = 4;

    /** Refusals that indicate no fault: the request is queued again, which does not count as a retry. */
    private static final Set<ErrorCode> REQUEUED_FAILURES =
            EnumSet.of(ErrorCode.BUSY, ErrorCode.PREEMPTED, ErrorCode.DRAINING, ErrorCode.WEIGHTS_NOT_LOADED);

    /** Failures that another attempt cannot change. */
    private static final Set<ErrorCode> TERMINAL_FAILURES =
            EnumSet.of(ErrorCode.CLAIM_LAPSED, ErrorCode.DEADLINE_EXCEEDED, ErrorCode.CANCELLED);

    /** Failures that count against the health of the upstream. */
    private static final Set<ErrorCode> UPSTREAM_FAULTS = EnumSet.of(
            ErrorCode.UPSTREAM_FAILED,
            ErrorCode.UPSTREAM_CRASHED,
            ErrorCode.ANSWER_INCOMPLETE,
            ErrorCode.WEIGHTS_MISMATCH,
            ErrorCode.PEER_UNREACHABLE);

    private final EntryComponents components;
    private final CallerRequest request;
    private final AnswerSink sink;
    private final SerialExecutor serial;
    private final String requestId = UUID.randomUUID().toString();
    private final long arrivalNanos;
    private final ConfigState arrivalConfig;
    private final RequestRecordBuilder recordBuilder;
    private final CompletableFuture<Void> completion = new CompletableFuture<>();
    private final Set<String> failedUpstreams = new HashSet<>();
    private Identity identity = Identity.unknown();
    private Optional<RequestSpec> validatedSpec = Optional.empty();
    private Optional<OrderClaim> orderClaim = Optional.empty();
    private Optional<QueuedRequest> queuedRequest = Optional.empty();
    private Optional<Attempt> currentAttempt = Optional.empty();
    private Optional<Timers.Timer> deadline = Optional.empty();

    /** Weights of the started stream, which must be the same for all its attempts. */
    private Optional<Weights> pinnedWeights = Optional.empty();

    private int attemptCount;
    private int busyRefusalCount;
    private int failureCount;
    private int forwardedTokens;
    private int tokensBeforeAttempt;
    private boolean answered;

    private RequestLifecycle(EntryComponents components, CallerRequest request, AnswerSink sink) {
        this.components = components;
        this.request = request;
        this.sink = sink;
        this.serial = SerialExecutor.of(components.workers());
        this.arrivalNanos = components.time().nanoTime();
        this.arrivalConfig = components.config().state();
        this.recordBuilder = new RequestRecordBuilder(
                requestId,
                components.time().now(),
                RequestValidator.sha256(request.body()),
                arrivalConfig.version(),
                ConfigAge.millis(components.config()));
    }

    /** Creates the state machine of a request without starting it. */
    public static RequestLifecycle of(EntryComponents components, CallerRequest request, AnswerSink sink) {
        return new RequestLifecycle(
                Objects.requireNonNull(components, "components"),
                Objects.requireNonNull(request, "request"),
                Objects.requireNonNull(sink, "sink"));
    }

    /** Returns a future that completes when the caller has its answer and the outcome of an order is settled. */
    public CompletableFuture<Void> completion() {
        return completion;
    }

    /** Starts the request and returns at once. */
    public void start() {
        serial.execute(() -> failOnException(this::onStart));
    }

    /** Refuses the request before it starts and returns at once. */
    public void refuse(ErrorCode code, String message) {
        serial.execute(() -> fail(Failure.notRun(code, message).retryAfter(RETRY_AFTER)));
    }

    /** Terminates the request, reports whether it may have run, and returns at once. */
    public void terminate() {
        serial.execute(() -> {
            if (answered) {
                completion.complete(null);
            } else {
                abort(ErrorCode.DRAINING, "the entry is shutting down");
            }
        });
    }

    /** Called when the connection to the caller is lost; returns at once. */
    public void callerDisconnected() {
        serial.execute(this::onCallerDisconnected);
    }

    /**
     * Called when a sidecar no longer responds; returns at once. An order keeps waiting for its outcome, because only
     * this sidecar knows it.
     */
    public void onUnreachable(String instance) {
        serial.execute(() -> currentAttempt
                .filter(attempt -> attempt.grant().instance().id().equals(instance))
                .filter(attempt -> orderClaim.isEmpty()
                        && attempt.isSilent(components.time().nanoTime()))
                .ifPresent(attempt -> failOnException(() -> onCallFailure(
                        attempt,
                        MasticcroftException.of(
                                ErrorCode.PEER_UNREACHABLE,
                                Verdict.MAY_HAVE_RUN,
                                "the sidecar " + instance + " does not respond")))));
    }

    private void onStart() {
        Duration timeout = arrivalConfig.config().limits().requestTimeout();
        deadline = Optional.of(components
                .timers()
                .scheduleAt(arrivalNanos + timeout.toNanos(), () -> serial.execute(this::onDeadline)));
        awaitConfig(RequestValidator.minConfigVersion(request));
    }

    private void awaitConfig(long minConfig) {
        if (answered) {
            return;
        }
        if (components.versions().isUpToDate(minConfig)) {
            processRequest();
        } else if (components.time().since(arrivalNanos).compareTo(CONFIG_WAIT_TIMEOUT) < 0) {
            components
                    .timers()
                    .schedule(
                            CONFIG_POLL_INTERVAL,
                            () -> serial.execute(() -> failOnException(() -> awaitConfig(minConfig))));
        } else {
            fail(Failure.notRun(
                    ErrorCode.CONFIG_BEHIND, "this entry has not received the required configuration version yet"));
        }
    }

    private void processRequest() {
        ConfigState state = components.config().state();
        if (state.version() == 0) {
            fail(Failure.notRun(ErrorCode.CONFIG_UNAVAILABLE, "this entry has no configuration yet"));
            return;
        }
        identity = RequestValidator.authenticate(state.config(), request.authorization());
        recordBuilder.identity(identity);
        Optional<Duration> wait = components
                .limiter()
                .tryAcquire(identity.customer(), identity.customerConfig().requestsPerSecond());
        if (wait.isPresent()) {
            refuseAdmission(ErrorCode.RATE_LIMITED, wait.get());
            return;
        }
        if (request.kind() == CallerRequest.Kind.MODELS) {
            recordBuilder.target("models", Optional.empty());
            succeed(ModelList.answer(state.config()), false);
            return;
        }
        RequestSpec spec = RequestValidator.validate(
                state.config(),
                request,
                identity,
                components.time().now(),
                components.settings().keyLifetime());
        validatedSpec = Optional.of(spec);
        recordBuilder.target(spec.target(), Optional.empty());
        if (components.suspects().isQuarantined(spec.fingerprint())) {
            fail(Failure.notRun(ErrorCode.QUARANTINED, "upstreams crashed while they ran this request"));
        } else if (spec.idempotent()) {
            enqueue();
        } else {
            startOrder(spec);
        }
    }

    private void startOrder(RequestSpec spec) {
        String keyDigest = spec.idempotencyKey().orElseThrow().digest(identity.customer());
        ClaimState state = components.claims().state(keyDigest);
        if (state instanceof ClaimState.Ran ran) {
            replayOrder(keyDigest, ran.owner(), ran.outcome());
        } else if (state instanceof ClaimState.Open open) {
            failInProgress(open.owner());
        } else if (!components.config().confirmed()) {
            refuseUnconfirmedConfig();
        } else {
            OrderClaim claim = new OrderClaim(components.claims(), keyDigest, spec.fingerprint());
            orderClaim = Optional.of(claim);
            components.timers().schedule(CLAIM_TIMEOUT, () -> serial.execute(this::onClaimTimeout));
            submitClaim(claim);
        }
    }

    private void submitClaim(OrderClaim claim) {
        claim.submit().thenAccept(result -> serial.execute(() -> failOnException(() -> onClaimDecided(claim, result))));
    }

    private void onClaimDecided(OrderClaim claim, ClaimResult result) {
        if (answered || !claim.isUndecided()) {
            return;
        }
        claim.onDecided(result);
        if (result instanceof ClaimResult.Owned) {
            components.timers().schedule(ClaimLog.DISPATCH_TIMEOUT, () -> serial.execute(this::onClaimLapsed));
            enqueue();
        } else if (result instanceof ClaimResult.AlreadyRan ran) {
            replayOrder(claim.keyDigest(), ran.owner(), ran.outcome());
        } else if (result instanceof ClaimResult.InProgress progress) {
            failInProgress(progress.owner());
        } else if (result instanceof ClaimResult.Unavailable unavailable) {
            fail(Failure.notRun(ErrorCode.LOG_UNAVAILABLE, unavailable.reason()));
        } else {
            submitClaim(claim);
        }
    }

    private void onClaimTimeout() {
        if (!answered && orderClaim.map(OrderClaim::isUndecided).orElse(false)) {
            fail(Failure.notRun(ErrorCode.LOG_UNAVAILABLE, "the log did not confirm the claim of the order in time"));
        }
    }

    private void onClaimLapsed() {
        if (currentAttempt.isEmpty()) {
            abort(ErrorCode.CLAIM_LAPSED, "no upstream became available for the order in time");
        }
    }

    private void failInProgress(ClaimEntry.Claim owner) {
        if (owner.isForDifferentRequest(validatedSpec.orElseThrow().fingerprint())) {
            refuseReusedKey();
            return;
        }
        fail(Failure.of(
                ErrorCode.ORDER_IN_PROGRESS,
                Verdict.MAY_HAVE_RUN,
                "a request with this idempotency key is running or its outcome is unknown"));
    }

    private void refuseReusedKey() {
        fail(Failure.notRun(
                ErrorCode.IDEMPOTENCY_KEY_MALFORMED, "the idempotency key was already used for a different call"));
    }

    private void refuseUnconfirmedConfig() {
        fail(Failure.notRun(
                ErrorCode.CONFIG_UNAVAILABLE, "the configuration is unconfirmed; non-idempotent calls are refused"));
    }

    private void replayOrder(String keyDigest, ClaimEntry.Claim owner, ClaimEntry.Outcome outcome) {
        if (owner.isForDifferentRequest(validatedSpec.orElseThrow().fingerprint())) {
            refuseReusedKey();
            return;
        }
        recordBuilder.markAlreadyRan();
        components
                .outcomes()
                .find(keyDigest)
                .map(answer -> CompletableFuture.completedFuture(Optional.of(answer)))
                .orElseGet(() -> components.entries().outcome(owner.entry(), keyDigest))
                .thenAccept(answer -> serial.execute(() -> failOnException(() -> onStoredAnswer(outcome, answer))));
    }

    private void onStoredAnswer(ClaimEntry.Outcome outcome, Optional<StoredAnswer> answer) {
        if (answered) {
            return;
        }
        Optional<StoredAnswer> matching = answer.filter(stored -> outcome.answerDigest()
                .map(digest -> digest.equals(RequestValidator.sha256(stored.body())))
                .orElse(true));
        if (matching.isPresent()) {
            succeed(matching.get(), true);
        } else {
            fail(Failure.of(
                    ErrorCode.ALREADY_RUN,
                    Verdict.RAN,
                    "the order was executed with status " + outcome.status() + "; its answer is no longer stored"));
        }
    }

    private void enqueue() {
        if (answered) {
            return;
        }
        RequestSpec spec = validatedSpec.orElseThrow();
        Optional<Target> target = pinnedWeights.isPresent() ? pinnedTarget(spec) : resolveTarget(spec);
        if (target.isEmpty()) {
            fail(Failure.of(
                    ErrorCode.UNKNOWN_MODEL,
                    recordBuilder.combinedVerdict(),
                    spec.target() + " is no longer configured"));
            return;
        }
        recordBuilder.target(spec.target(), target.get().adapter());
        QueuedRequest queued = new QueuedRequest(spec, target.get());
        queuedRequest = Optional.of(queued);
        components.gate().submit(queued);
    }

    private Optional<Target> resolveTarget(RequestSpec spec) {
        ConfigState state = components.config().state();
        if (request.kind() == CallerRequest.Kind.CHAT) {
            return components.deployments().resolve(state, spec.target());
        }
        return Optional.ofNullable(state.config().services().get(spec.target()))
                .map(service -> Target.service(spec.target(), service.group()));
    }

    /** Returns the target of a started stream, which keeps its weights even if they are no longer configured. */
    private Optional<Target> pinnedTarget(RequestSpec spec) {
        return resolveTarget(spec)
                .map(target -> new Target(
                        target.name(),
                        target.group(),
                        List.of(pinnedWeights.orElseThrow()),
                        target.adapter(),
                        target.adapterDigest()));
    }

    private void onGranted(QueuedRequest granted, Grant grant) {
        if (answered || !queuedRequest.equals(Optional.of(granted))) {
            components.gate().release(grant, 0, Health.UNKNOWN);
            return;
        }
        queuedRequest = Optional.empty();
        if (!components.versions().isUpToDate(0)) {
            components.gate().release(grant, 0, Health.UNKNOWN);
            components.timers().schedule(CONFIG_POLL_INTERVAL, () -> serial.execute(this::enqueue));
        } else if (orderClaim
                .map(claim -> claim.isLapsed(components.time().now()))
                .orElse(false)) {
            components.gate().release(grant, 0, Health.UNKNOWN);
            fail(Failure.notRun(ErrorCode.CLAIM_LAPSED, "the order could not be dispatched in time"));
        } else if (orderClaim.isPresent() && !components.config().confirmed()) {
            components.gate().release(grant, 0, Health.UNKNOWN);
            refuseUnconfirmedConfig();
        } else {
            dispatch(grant);
        }
    }

    private void dispatch(Grant grant) {
        attemptCount++;
        tokensBeforeAttempt = forwardedTokens;
        if (attemptCount == 1) {
            components.retryBudget().recordFirstAttempt(components.time().nanoTime());
        }
        recordBuilder.grant(grant);
        if (pinnedWeights.isPresent()) {
            EventLog.info(
                    Event.STREAM_RESUMED,
                    "request",
                    requestId,
                    "upstream",
                    grant.upstream(),
                    "position",
                    forwardedTokens);
        }
        Attempt attempt = new Attempt(
                attemptCount,
                grant,
                requestId,
                serial,
                (source, reply) -> failOnException(() -> onReply(source, reply)),
                (source, failure) -> failOnException(() -> onCallFailure(source, failure)));
        currentAttempt = Optional.of(attempt);
        InetSocketAddress address =
                new InetSocketAddress(grant.instance().host(), grant.instance().peerPort());
        Envelope.Builder message = Envelope.newBuilder()
                .setDispatch(DispatchFactory.dispatch(
                                requestId, attemptCount, request, validatedSpec.orElseThrow(), identity, grant)
                        .setEntry(components.settings().instance())
                        .setRemainingMs(DispatchFactory.sidecarTimeoutMillis(remainingTime()))
                        .setResumeFrom(forwardedTokens));
        orderClaim.ifPresent(claim -> message.getDispatchBuilder().setClaim(claim.toWire()));
        attempt.attachCall(components.peers().open(address, message, attempt));
    }

    private void onReply(Attempt attempt, Envelope reply) {
        components.versions().onPeerVersion(reply.getConfigVersion());
        if (!currentAttempt.equals(Optional.of(attempt))) {
            logRejectedReply(attempt, "the attempt has ended");
            return;
        }
        Optional<String> violation = attempt.accept(
                reply, validatedSpec.orElseThrow().stream(), components.time().nanoTime());
        if (violation.isPresent()) {
            rejectReply(attempt, violation.get());
        } else if (reply.hasDispatchChunk() && attempt.isStreaming()) {
            forward(
                    attempt,
                    attempt.events().accept(reply.getDispatchChunk().getData().toByteArray()));
            if (attempt.events().isInvalid() && currentAttempt.equals(Optional.of(attempt))) {
                rejectReply(attempt, "the stream contains text that is no event");
            }
        } else if (reply.hasDispatchEnd()) {
            onEnd(attempt, reply.getDispatchEnd());
        }
    }

    private void rejectReply(Attempt attempt, String reason) {
        logRejectedReply(attempt, reason);
        endAttempt(attempt, Verdict.MAY_HAVE_RUN, ErrorCode.ANSWER_INCOMPLETE, orderClaim.isEmpty());
        retryOrFail(attempt, Verdict.MAY_HAVE_RUN, ErrorCode.ANSWER_INCOMPLETE, reason);
    }

    private void onCallFailure(Attempt attempt, MasticcroftException failure) {
        if (currentAttempt.equals(Optional.of(attempt))) {
            Verdict verdict = attempt.hasReplied() ? Verdict.MAY_HAVE_RUN : failure.verdict();
            endAttempt(attempt, verdict, failure.code(), false);
            retryOrFail(attempt, verdict, failure.code(), String.valueOf(failure.getMessage()));
        }
    }

    private void forward(Attempt attempt, byte[] data) {
        if (data.length == 0 || answered) {
            return;
        }
        if (pinnedWeights.isEmpty()) {
            pinnedWeights = attempt.grant().weights();
            components
                    .metrics()
                    .timer("entry.first-token." + identity.rank())
                    .update(components.time().since(arrivalNanos));
            sink.beginStream(headers(false));
        }
        forwardedTokens += attempt.events().drainTokenCount();
        recordBuilder.addAnswerData(data);
        if (!sink.sendChunk(data)) {
            onCallerDisconnected();
        }
    }

    private void onEnd(Attempt attempt, DispatchEnd end) {
        if (end.hasLoad()) {
            components.upstreams().onLoad(attempt.grant().instance().id(), end.getLoad());
        }
        boolean success =
                end.getErrorCode().isEmpty() && end.getVerdict() == org.masticcroft.wire.generated.Verdict.RAN;
        recordBuilder.reportedWeightsDigest(end.getWeightsDigest());
        if (!success) {
            Verdict verdict =
                    DispatchFactory.verdict(end, attempt.collector().head().isPresent());
            ErrorCode code = DispatchFactory.code(end);
            recordCrash(attempt, end);
            endAttempt(attempt, verdict, code, false);
            updateUpstreamState(attempt, code);
            if (verdict == Verdict.RAN) {
                recordOutcomeWithoutAnswer(attempt);
            }
            retryOrFail(attempt, verdict, code, end.getErrorMessage());
            return;
        }
        Optional<ErrorCode> validationError = AnswerValidator.validate(attempt, end, pinnedWeights.isPresent());
        if (validationError.isPresent()) {
            logRejectedReply(attempt, validationError.get() + " found at the end of the answer");
            endAttempt(attempt, Verdict.RAN, validationError.get(), false);
            recordOutcomeWithoutAnswer(attempt);
            retryOrFail(attempt, Verdict.RAN, validationError.get(), "the answer of the upstream is invalid");
        } else {
            onSuccess(attempt, end);
        }
    }

    private void onSuccess(Attempt attempt, DispatchEnd end) {
        currentAttempt = Optional.empty();
        attempt.close(false);
        recordBuilder.addAttempt(
                attempt.number(),
                attempt.grant(),
                Verdict.RAN,
                Optional.empty(),
                attempt.collector().incarnation());
        components
                .gate()
                .release(attempt.grant(), Math.max(1, end.getPromptTokens() + end.getCompletionTokens()), Health.GOOD);
        if (attempt.isStreaming()) {
            forward(attempt, attempt.events().drainClosingEvents());
            finishStream();
        } else {
            StoredAnswer answer = new StoredAnswer(
                    attempt.collector().head().orElseThrow().getStatus(),
                    attempt.collector().head().orElseThrow().getContentType(),
                    attempt.collector().body());
            recordOutcome(answer);
            succeed(answer, false);
        }
    }

    private void recordOutcome(StoredAnswer answer) {
        orderClaim.ifPresent(claim -> {
            components.outcomes().put(claim.keyDigest(), answer);
            claim.recordRan(answer.status(), Optional.of(RequestValidator.sha256(answer.body())));
        });
    }

    private void recordOutcomeWithoutAnswer(Attempt attempt) {
        int status = attempt.collector().head().map(DispatchHead::getStatus).orElse(0);
        orderClaim.ifPresent(claim -> claim.recordRan(status, Optional.empty()));
    }

    private void recordCrash(Attempt attempt, DispatchEnd end) {
        if (end.getUpstreamCrashed()) {
            String started = attempt.collector().incarnation();
            String incarnation = started.isEmpty() ? end.getEngineIncarnation() : started;
            String fingerprint = attempt.grant().fingerprint();
            int crashCount = components.suspects().onCrash(attempt.grant().upstream(), incarnation, fingerprint);
            if (crashCount > 0) {
                components.entries().notifySuspect(fingerprint, crashCount);
            }
        }
    }

    private void endAttempt(Attempt attempt, Verdict verdict, ErrorCode code, boolean cancel) {
        currentAttempt = Optional.empty();
        attempt.close(cancel);
        recordBuilder.addAttempt(
                attempt.number(),
                attempt.grant(),
                verdict,
                Optional.of(code),
                attempt.collector().incarnation());
        EventLog.info(
                Event.ATTEMPT_FAILED,
                "request",
                requestId,
                "attempt",
                attempt.number(),
                "upstream",
                attempt.grant().upstream(),
                "verdict",
                verdict,
                "code",
                code);
        Health health =
                UPSTREAM_FAULTS.contains(code) ? Health.BAD : attempt.hasReplied() ? Health.GOOD : Health.UNKNOWN;
        int tokens = verdict == Verdict.NOT_RUN ? 0 : 1 + forwardedTokens - tokensBeforeAttempt;
        components.gate().release(attempt.grant(), tokens, health);
    }

    private void updateUpstreamState(Attempt attempt, ErrorCode code) {
        String instance = attempt.grant().instance().id();
        if (code == ErrorCode.BUSY) {
            components.upstreams().onBusy(instance, BUSY_BACKOFF.toNanos());
        } else if (code == ErrorCode.DRAINING) {
            components.upstreams().onLeaving(instance);
        } else if (code == ErrorCode.WEIGHTS_NOT_LOADED) {
            attempt.grant()
                    .weights()
                    .ifPresent(weights -> components.upstreams().onNotLoaded(instance, weights.digest()));
        }
    }

    /** Handles a failed attempt: the request is retried only if the verdict permits it. */
    private void retryOrFail(Attempt attempt, Verdict verdict, ErrorCode code, String message) {
        if (answered) {
            completeAnsweredOrder(verdict);
            return;
        }
        RequestSpec spec = validatedSpec.orElseThrow();
        Failure failure = Failure.of(code, recordBuilder.combinedVerdict(), message);
        if (components.suspects().isQuarantined(spec.fingerprint())) {
            fail(Failure.of(
                    ErrorCode.QUARANTINED,
                    recordBuilder.combinedVerdict(),
                    "upstreams crashed while they ran this request"));
        } else if (isFinal(code) || !verdict.permitsRetry(spec.idempotent())) {
            fail(failure);
        } else if (REQUEUED_FAILURES.contains(code)) {
            enqueueAfter(code == ErrorCode.BUSY ? busyBackoff() : Duration.ZERO);
        } else {
            failureCount++;
            AttemptFailure failed = new AttemptFailure(
                    failureCount,
                    verdict,
                    code,
                    spec.idempotent(),
                    pinnedWeights.isPresent(),
                    pinnedWeights.isPresent(),
                    remainingTime());
            long now = components.time().nanoTime();
            Optional<Duration> backoff = components
                    .policies()
                    .retry()
                    .nextBackOff(failed, components.retryBudget(), now, components.random());
            failedUpstreams.add(attempt.grant().upstream());
            backoff.ifPresentOrElse(this::enqueueAfter, () -> fail(failure));
        }
    }

    /**
     * Returns whether no further attempt is made. Another attempt cannot take back what the caller has already received
     * of a stream from the wrong weights.
     */
    private boolean isFinal(ErrorCode code) {
        return TERMINAL_FAILURES.contains(code) || code == ErrorCode.WEIGHTS_MISMATCH && pinnedWeights.isPresent();
    }

    private Duration busyBackoff() {
        return BUSY_BACKOFF.multipliedBy(1L << Math.min(busyRefusalCount++, MAX_BUSY_DOUBLINGS));
    }

    private void enqueueAfter(Duration delay) {
        if (delay.isZero()) {
            enqueue();
        } else {
            components.timers().schedule(delay, () -> serial.execute(() -> failOnException(this::enqueue)));
        }
    }

    private void onDeadline() {
        abort(ErrorCode.DEADLINE_EXCEEDED, "the request exceeded its deadline");
    }

    private void onCallerDisconnected() {
        if (orderClaim.isEmpty() || currentAttempt.isEmpty()) {
            abort(ErrorCode.CANCELLED, "the caller disconnected");
        }
    }

    /**
     * Ends the request for the caller. An order that was dispatched is not cancelled; at the deadline its outcome is
     * still awaited and recorded, because the caller may send the order again.
     */
    private void abort(ErrorCode code, String message) {
        if (answered) {
            return;
        }
        if (currentAttempt.isEmpty()) {
            boolean claiming = orderClaim.map(OrderClaim::isUndecided).orElse(false);
            boolean logTimedOut = claiming && code == ErrorCode.DEADLINE_EXCEEDED;
            fail(Failure.of(logTimedOut ? ErrorCode.LOG_UNAVAILABLE : code, recordBuilder.combinedVerdict(), message));
        } else if (orderClaim.isPresent() && code == ErrorCode.DEADLINE_EXCEEDED) {
            components.timers().schedule(OUTCOME_TIMEOUT, () -> serial.execute(this::onOutcomeTimeout));
            sendFailure(Failure.of(code, Verdict.MAY_HAVE_RUN, message));
        } else {
            Attempt attempt = currentAttempt.get();
            endAttempt(attempt, Verdict.MAY_HAVE_RUN, code, orderClaim.isEmpty());
            fail(Failure.of(code, recordBuilder.combinedVerdict(), message));
        }
    }

    private void onOutcomeTimeout() {
        currentAttempt.ifPresent(
                attempt -> endAttempt(attempt, Verdict.MAY_HAVE_RUN, ErrorCode.DEADLINE_EXCEEDED, false));
        completion.complete(null);
    }

    /** Completes an order whose caller was already told that it may have run. */
    private void completeAnsweredOrder(Verdict verdict) {
        if (verdict == Verdict.NOT_RUN) {
            orderClaim.ifPresent(OrderClaim::recordNotRun);
        }
        completion.complete(null);
    }

    private void fail(Failure failure) {
        if (answered) {
            return;
        }
        if (failure.verdict() == Verdict.NOT_RUN) {
            orderClaim.ifPresent(OrderClaim::recordNotRun);
        }
        sendFailure(failure);
        completion.complete(null);
    }

    private void sendFailure(Failure failure) {
        answered = true;
        stopWaiting();
        EventLog.info(
                failure.verdict() == Verdict.NOT_RUN ? Event.REQUEST_REFUSED : Event.REQUEST_FINISHED,
                "request",
                requestId,
                "customer",
                identity.customer(),
                "verdict",
                failure.verdict(),
                "code",
                failure.code(),
                "attempts",
                attemptCount);
        int status = pinnedWeights.isPresent() ? 200 : failure.code().httpStatus();
        record(failure.verdict(), Optional.of(failure.code()), status);
        logOnException(() -> sink.sendFailure(headers(false), failure));
    }

    private void finishStream() {
        if (answered) {
            return;
        }
        answered = true;
        stopWaiting();
        recordSuccess(200);
        logOnException(sink::endStream);
        completion.complete(null);
    }

    private void succeed(StoredAnswer answer, boolean replayed) {
        if (!answered) {
            answered = true;
            stopWaiting();
            recordBuilder.addAnswerData(answer.body());
            recordSuccess(answer.status());
            logOnException(() -> sink.sendAnswer(headers(replayed), answer));
        }
        completion.complete(null);
    }

    private void recordSuccess(int status) {
        EventLog.info(
                Event.REQUEST_FINISHED,
                "request",
                requestId,
                "customer",
                identity.customer(),
                "verdict",
                Verdict.RAN,
                "attempts",
                attemptCount,
                "ms",
                components.time().since(arrivalNanos).toMillis());
        record(Verdict.RAN, Optional.empty(), status);
    }

    private void stopWaiting() {
        deadline.ifPresent(Timers.Timer::cancel);
        queuedRequest.ifPresent(components.gate()::cancel);
        queuedRequest = Optional.empty();
    }

    private void record(Verdict verdict, Optional<ErrorCode> code, int status) {
        Instant now = components.time().now();
        long uncertainty = components.settings().clockUncertainty().toMillis();
        logOnException(() -> components.account().write(recordBuilder.build(now, uncertainty, verdict, code, status)));
        String name = identity.rank().isEmpty() ? "unknown" : identity.rank();
        components
                .metrics()
                .timer("entry.request." + name)
                .update(components.time().since(arrivalNanos));
        code.ifPresent(failed ->
                components.metrics().counter("entry.failure." + failed).inc());
    }

    private AnswerHeaders headers(boolean replayed) {
        return new AnswerHeaders(
                requestId,
                recordBuilder.weights(),
                recordBuilder.upstream(),
                components.config().state().version(),
                components.config().confirmed()
                        ? Optional.empty()
                        : Optional.of(Duration.ofMillis(ConfigAge.millis(components.config()))),
                replayed);
    }

    private void refuseAdmission(ErrorCode code, Duration retryAfter) {
        EventLog.info(
                Event.ADMISSION_DECISION,
                "request",
                requestId,
                "customer",
                identity.customer(),
                "rank",
                identity.rank(),
                "refused",
                code,
                "retryAfterMs",
                retryAfter.toMillis());
        fail(Failure.of(code, recordBuilder.combinedVerdict(), "the request was not admitted")
                .retryAfter(retryAfter));
    }

    private void logRejectedReply(Attempt attempt, String reason) {
        EventLog.warn(Event.REPLY_REJECTED, "request", requestId, "attempt", attempt.number(), "reason", reason);
    }

    private Duration remainingTime() {
        Duration timeout = arrivalConfig.config().limits().requestTimeout();
        return timeout.minus(components.time().since(arrivalNanos));
    }

    /** Runs a final step; the request must complete even if the connection to the caller or the account fails. */
    private void logOnException(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            EventLog.error(Event.INTERNAL_ERROR, e, "request", requestId);
        }
    }

    /** Runs a step and reports any exception to the caller, so that no request remains without an answer. */
    private void failOnException(Runnable step) {
        try {
            step.run();
        } catch (MasticcroftException e) {
            fail(Failure.of(e));
        } catch (RuntimeException e) {
            EventLog.error(Event.INTERNAL_ERROR, e, "request", requestId);
            abort(ErrorCode.INTERNAL, "internal error");
        }
    }

    /** The request in the queue of the admission gate. */
    private final class QueuedRequest implements Waiter {
        private final RequestSpec spec;
        private final Ticket ticket;
        private final UpstreamQuery query;
        private final boolean admittedBefore = attemptCount > 0;

        private QueuedRequest(RequestSpec spec, Target target) {
            this.spec = spec;
            this.ticket = new Ticket(
                    requestId,
                    identity.customer(),
                    identity.weight(),
                    identity.rank(),
                    Math.max(1, spec.estimatedTokens() - forwardedTokens),
                    arrivalNanos);
            this.query = new UpstreamQuery(
                    target,
                    pinnedWeights.map(Weights::digest),
                    identity.rankOrder() == 0,
                    failedUpstreams,
                    upstream -> true);
        }

        @Override
        public Ticket ticket() {
            return ticket;
        }

        @Override
        public UpstreamQuery query() {
            return query;
        }

        @Override
        public long prefixHash() {
            return spec.prefixHash();
        }

        @Override
        public String fingerprint() {
            return spec.fingerprint();
        }

        @Override
        public boolean admittedBefore() {
            return admittedBefore;
        }

        @Override
        public void onGranted(Grant grant) {
            serial.execute(() -> failOnException(() -> RequestLifecycle.this.onGranted(this, grant)));
        }

        @Override
        public void onRefused(ErrorCode code, Duration retryAfter) {
            serial.execute(() -> {
                if (!answered && queuedRequest.equals(Optional.of(this))) {
                    queuedRequest = Optional.empty();
                    refuseAdmission(code, retryAfter);
                }
            });
        }
    }
}
