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
 * Life of one request as a state machine. All methods but the factories, {@link #start}, {@link #endNow} and
 * {@link #ended} run on the serial executor of the request.
 */
public final class RequestRun {
    /** Time for which a request waits for the configuration version that it demands. */
    private static final Duration CATCH_UP_LIMIT = Duration.ofSeconds(2);

    private static final Duration CATCH_UP_STEP = Duration.ofMillis(20);

    /** Time within which the log must confirm a claim; an outage is then reported before the caller's patience ends. */
    private static final Duration CLAIM_LIMIT = Duration.ofSeconds(5);

    /** Time for which the outcome of an order is awaited after its caller was told that it may have run. */
    private static final Duration OUTCOME_LIMIT = Duration.ofSeconds(60);

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration BUSY_BACKOFF = Duration.ofMillis(25);
    private static final int MAX_BUSY_DOUBLINGS = 4;

    /** Refusals that say nothing against the request: it waits for another place and costs no retry. */
    private static final Set<ErrorCode> PLACED_AGAIN =
            EnumSet.of(ErrorCode.BUSY, ErrorCode.PREEMPTED, ErrorCode.DRAINING, ErrorCode.WEIGHTS_NOT_LOADED);

    /** Failures that another attempt can't change. */
    private static final Set<ErrorCode> FINAL =
            EnumSet.of(ErrorCode.CLAIM_LAPSED, ErrorCode.DEADLINE_EXCEEDED, ErrorCode.CANCELLED);

    /** Failures that speak against the upstream. */
    private static final Set<ErrorCode> UNHEALTHY = EnumSet.of(
            ErrorCode.UPSTREAM_FAILED,
            ErrorCode.UPSTREAM_CRASHED,
            ErrorCode.ANSWER_INCOMPLETE,
            ErrorCode.WEIGHTS_MISMATCH,
            ErrorCode.PEER_UNREACHABLE);

    private final Services services;
    private final CallerRequest request;
    private final AnswerSink sink;
    private final SerialExecutor serial;
    private final String requestId = UUID.randomUUID().toString();
    private final long arrivalNanos;
    private final ConfigState arrivalConfig;
    private final RequestRecordBuilder recordBuilder;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final Set<String> excluded = new HashSet<>();
    private Identity identity = Identity.unknown();
    private Optional<RequestSpec> prepared = Optional.empty();
    private Optional<OrderClaim> order = Optional.empty();
    private Optional<Place> waiting = Optional.empty();
    private Optional<Attempt> current = Optional.empty();
    private Optional<Timers.Timer> deadline = Optional.empty();
    private Optional<Weights> pinned = Optional.empty();
    private int attempts;
    private int busyRefusals;
    private int failures;
    private int tokensPassed;
    private int tokensAtStart;
    private boolean answered;

    private RequestRun(Services services, CallerRequest request, AnswerSink sink) {
        this.services = services;
        this.request = request;
        this.sink = sink;
        this.serial = SerialExecutor.of(services.workers());
        this.arrivalNanos = services.time().nanoTime();
        this.arrivalConfig = services.config().state();
        this.recordBuilder = new RequestRecordBuilder(
                requestId,
                services.time().now(),
                Preparation.sha256(request.body()),
                arrivalConfig.version(),
                ConfigAge.millis(services.config()));
    }

    /** Creates a request that is not started yet. */
    public static RequestRun of(Services services, CallerRequest request, AnswerSink sink) {
        return new RequestRun(
                Objects.requireNonNull(services, "services"),
                Objects.requireNonNull(request, "request"),
                Objects.requireNonNull(sink, "sink"));
    }

    /** Returns what completes when the caller has its answer and the outcome of an order is settled. */
    public CompletableFuture<Void> ended() {
        return ended;
    }

    /** Starts the request and returns at once. */
    public void start() {
        serial.execute(() -> guarded(this::begin));
    }

    /** Refuses the request before it starts and returns at once. */
    public void refuse(ErrorCode code, String message) {
        serial.execute(() -> fail(Failure.notRun(code, message).retryAfter(RETRY_AFTER)));
    }

    /** Ends the request with its true verdict and returns at once. */
    public void endNow() {
        serial.execute(() -> {
            if (answered) {
                ended.complete(null);
            } else {
                stopWith(ErrorCode.DRAINING, "the entry stops");
            }
        });
    }

    /** Notes that the connection to the caller is lost and returns at once. */
    public void callerGone() {
        serial.execute(this::onCallerGone);
    }

    /**
     * Notes that a sidecar does not answer any more and returns at once. An order keeps waiting for its outcome, which
     * nothing else can tell.
     */
    public void onUnreachable(String instance) {
        serial.execute(() -> current.filter(
                        attempt -> attempt.grant().instance().id().equals(instance))
                .filter(attempt ->
                        order.isEmpty() && attempt.isSilent(services.time().nanoTime()))
                .ifPresent(attempt -> guarded(() -> onCallFailure(
                        attempt,
                        MasticcroftException.of(
                                ErrorCode.PEER_UNREACHABLE,
                                Verdict.MAY_HAVE_RUN,
                                "the sidecar " + instance + " does not answer")))));
    }

    private void begin() {
        Duration timeout = arrivalConfig.config().limits().requestTimeout();
        deadline = Optional.of(
                services.timers().scheduleAt(arrivalNanos + timeout.toNanos(), () -> serial.execute(this::onDeadline)));
        catchUp(Preparation.minConfig(request));
    }

    private void catchUp(long minConfig) {
        if (answered) {
            return;
        }
        if (services.versions().isUpToDate(minConfig)) {
            prepare();
        } else if (services.time().since(arrivalNanos).compareTo(CATCH_UP_LIMIT) < 0) {
            services.timers().schedule(CATCH_UP_STEP, () -> serial.execute(() -> guarded(() -> catchUp(minConfig))));
        } else {
            fail(Failure.notRun(ErrorCode.CONFIG_BEHIND, "this entry has not reached the demanded configuration"));
        }
    }

    private void prepare() {
        ConfigState state = services.config().state();
        if (state.version() == 0) {
            fail(Failure.notRun(ErrorCode.CONFIG_UNAVAILABLE, "this entry has no configuration yet"));
            return;
        }
        identity = Preparation.identify(state.config(), request.authorization());
        recordBuilder.identity(identity);
        Optional<Duration> wait = services.limiter()
                .tryAcquire(identity.customer(), identity.customerConfig().requestsPerSecond());
        if (wait.isPresent()) {
            admissionRefused(ErrorCode.RATE_LIMITED, wait.get());
            return;
        }
        if (request.kind() == CallerRequest.Kind.MODELS) {
            recordBuilder.target("models", Optional.empty());
            succeed(ModelList.answer(state.config()), false);
            return;
        }
        RequestSpec spec = Preparation.prepare(
                state.config(),
                request,
                identity,
                services.time().now(),
                services.settings().keyLifetime());
        prepared = Optional.of(spec);
        recordBuilder.target(spec.target(), Optional.empty());
        if (services.suspects().isQuarantined(spec.fingerprint())) {
            fail(Failure.notRun(ErrorCode.QUARANTINED, "upstreams crashed while they ran this request"));
        } else if (spec.idempotent()) {
            enqueue();
        } else {
            beginOrder(spec);
        }
    }

    private void beginOrder(RequestSpec spec) {
        String keyDigest = spec.key().orElseThrow().digest(identity.customer());
        ClaimState state = services.claims().state(keyDigest);
        if (state instanceof ClaimState.Ran ran) {
            replay(keyDigest, ran.owner(), ran.outcome());
        } else if (state instanceof ClaimState.Open open) {
            orderInProgress(open.owner());
        } else if (!services.config().confirmed()) {
            refuseUnconfirmed();
        } else {
            OrderClaim claim = new OrderClaim(services.claims(), keyDigest, spec.fingerprint());
            order = Optional.of(claim);
            services.timers().schedule(CLAIM_LIMIT, () -> serial.execute(this::onClaimTimeout));
            claim(claim);
        }
    }

    private void claim(OrderClaim claim) {
        claim.claim().thenAccept(result -> serial.execute(() -> guarded(() -> onClaim(claim, result))));
    }

    private void onClaim(OrderClaim claim, ClaimResult result) {
        if (answered || !claim.isUndecided()) {
            return;
        }
        claim.decided(result);
        if (result instanceof ClaimResult.Owned) {
            services.timers().schedule(ClaimLog.DISPATCH_WITHIN, () -> serial.execute(this::onClaimLapsed));
            enqueue();
        } else if (result instanceof ClaimResult.AlreadyRan ran) {
            replay(claim.keyDigest(), ran.owner(), ran.outcome());
        } else if (result instanceof ClaimResult.InProgress progress) {
            orderInProgress(progress.owner());
        } else if (result instanceof ClaimResult.Unavailable unavailable) {
            fail(Failure.notRun(ErrorCode.LOG_UNAVAILABLE, unavailable.reason()));
        } else {
            claim(claim);
        }
    }

    private void onClaimTimeout() {
        if (!answered && order.map(OrderClaim::isUndecided).orElse(false)) {
            fail(Failure.notRun(ErrorCode.LOG_UNAVAILABLE, "the log did not confirm the claim of the order in time"));
        }
    }

    private void onClaimLapsed() {
        if (current.isEmpty()) {
            stopWith(ErrorCode.CLAIM_LAPSED, "the order found no upstream in time");
        }
    }

    private void orderInProgress(ClaimEntry.Claim owner) {
        if (owner.isForDifferentRequest(prepared.orElseThrow().fingerprint())) {
            refuseKeyOfOtherCall();
            return;
        }
        fail(Failure.of(
                ErrorCode.ORDER_IN_PROGRESS,
                Verdict.MAY_HAVE_RUN,
                "a request with this idempotency key is running or its outcome is unknown"));
    }

    private void refuseKeyOfOtherCall() {
        fail(Failure.notRun(
                ErrorCode.IDEMPOTENCY_KEY_MALFORMED, "the idempotency key was used for another call before"));
    }

    private void refuseUnconfirmed() {
        fail(Failure.notRun(
                ErrorCode.CONFIG_UNAVAILABLE,
                "the configuration is unconfirmed; calls that must not be repeated are refused"));
    }

    private void replay(String keyDigest, ClaimEntry.Claim owner, ClaimEntry.Outcome outcome) {
        if (owner.isForDifferentRequest(prepared.orElseThrow().fingerprint())) {
            refuseKeyOfOtherCall();
            return;
        }
        recordBuilder.alreadyRan();
        services.outcomes()
                .find(keyDigest)
                .map(answer -> CompletableFuture.completedFuture(Optional.of(answer)))
                .orElseGet(() -> services.entries().outcome(owner.entry(), keyDigest))
                .thenAccept(answer -> serial.execute(() -> guarded(() -> onReplay(outcome, answer))));
    }

    private void onReplay(ClaimEntry.Outcome outcome, Optional<StoredAnswer> answer) {
        if (answered) {
            return;
        }
        Optional<StoredAnswer> authentic = answer.filter(stored -> outcome.answerDigest()
                .map(digest -> digest.equals(Preparation.sha256(stored.body())))
                .orElse(true));
        if (authentic.isPresent()) {
            succeed(authentic.get(), true);
        } else {
            fail(Failure.of(
                    ErrorCode.ALREADY_RUN,
                    Verdict.RAN,
                    "the order was executed with status " + outcome.status() + "; its answer is not kept any more"));
        }
    }

    private void enqueue() {
        if (answered) {
            return;
        }
        RequestSpec spec = prepared.orElseThrow();
        Optional<Target> target = pinned.isPresent() ? pinnedTarget(spec) : target(spec);
        if (target.isEmpty()) {
            fail(Failure.of(
                    ErrorCode.UNKNOWN_MODEL, recordBuilder.worst(), spec.target() + " is not configured any more"));
            return;
        }
        recordBuilder.target(spec.target(), target.get().adapter());
        Place place = new Place(spec, target.get());
        waiting = Optional.of(place);
        services.gate().submit(place);
    }

    private Optional<Target> target(RequestSpec spec) {
        ConfigState state = services.config().state();
        if (request.kind() == CallerRequest.Kind.CHAT) {
            return services.deployments().resolve(state, spec.target());
        }
        return Optional.ofNullable(state.config().services().get(spec.target()))
                .map(service -> Target.service(spec.target(), service.group()));
    }

    /** A started stream continues on the same weights even if the configuration does not name them any more. */
    private Optional<Target> pinnedTarget(RequestSpec spec) {
        return target(spec)
                .map(target -> new Target(
                        target.name(),
                        target.group(),
                        List.of(pinned.orElseThrow()),
                        target.adapter(),
                        target.adapterDigest()));
    }

    private void onGranted(Place place, Grant grant) {
        if (answered || !waiting.equals(Optional.of(place))) {
            services.gate().release(grant, 0, Health.UNKNOWN);
            return;
        }
        waiting = Optional.empty();
        if (!services.versions().isUpToDate(0)) {
            services.gate().release(grant, 0, Health.UNKNOWN);
            services.timers().schedule(CATCH_UP_STEP, () -> serial.execute(this::enqueue));
        } else if (order.map(claim -> claim.isLapsed(services.time().now())).orElse(false)) {
            services.gate().release(grant, 0, Health.UNKNOWN);
            fail(Failure.notRun(ErrorCode.CLAIM_LAPSED, "the order could not be dispatched in time"));
        } else if (order.isPresent() && !services.config().confirmed()) {
            services.gate().release(grant, 0, Health.UNKNOWN);
            refuseUnconfirmed();
        } else {
            dispatch(grant);
        }
    }

    private void dispatch(Grant grant) {
        attempts++;
        tokensAtStart = tokensPassed;
        if (attempts == 1) {
            services.retryBudget().recordFirstAttempt(services.time().nanoTime());
        }
        recordBuilder.granted(grant);
        if (pinned.isPresent()) {
            EventLog.info(
                    Event.STREAM_RESUMED, "request", requestId, "upstream", grant.upstream(), "position", tokensPassed);
        }
        Attempt attempt = new Attempt(
                attempts,
                grant,
                requestId,
                serial,
                (source, reply) -> guarded(() -> onReply(source, reply)),
                (source, failure) -> guarded(() -> onCallFailure(source, failure)));
        current = Optional.of(attempt);
        InetSocketAddress address =
                new InetSocketAddress(grant.instance().host(), grant.instance().peerPort());
        Envelope.Builder message = Envelope.newBuilder()
                .setDispatch(
                        DispatchFactory.dispatch(requestId, attempts, request, prepared.orElseThrow(), identity, grant)
                                .setEntry(services.settings().instance())
                                .setRemainingMs(DispatchFactory.sidecarTime(remaining()))
                                .setResumeFrom(tokensPassed));
        order.ifPresent(claim -> message.getDispatchBuilder().setClaim(claim.toWire()));
        attempt.opened(services.peers().open(address, message, attempt));
    }

    private void onReply(Attempt attempt, Envelope reply) {
        services.versions().onPeerVersion(reply.getConfigVersion());
        if (!current.equals(Optional.of(attempt))) {
            rejected(attempt, "the attempt has ended");
            return;
        }
        Optional<String> violation = attempt.accept(
                reply, prepared.orElseThrow().stream(), services.time().nanoTime());
        if (violation.isPresent()) {
            rejected(attempt, violation.get());
            endAttempt(attempt, Verdict.MAY_HAVE_RUN, ErrorCode.ANSWER_INCOMPLETE, order.isEmpty());
            decide(attempt, Verdict.MAY_HAVE_RUN, ErrorCode.ANSWER_INCOMPLETE, violation.get());
        } else if (reply.hasDispatchChunk() && attempt.isStreaming()) {
            passOn(
                    attempt,
                    attempt.events().accept(reply.getDispatchChunk().getData().toByteArray()));
        } else if (reply.hasDispatchEnd()) {
            onEnd(attempt, reply.getDispatchEnd());
        }
    }

    private void onCallFailure(Attempt attempt, MasticcroftException failure) {
        if (current.equals(Optional.of(attempt))) {
            Verdict verdict = attempt.isHeard() ? Verdict.MAY_HAVE_RUN : failure.verdict();
            endAttempt(attempt, verdict, failure.code(), false);
            decide(attempt, verdict, failure.code(), String.valueOf(failure.getMessage()));
        }
    }

    private void passOn(Attempt attempt, byte[] data) {
        if (data.length == 0 || answered) {
            return;
        }
        if (pinned.isEmpty()) {
            pinned = attempt.grant().weights();
            services.metrics()
                    .timer("entry.first-token." + identity.rank())
                    .update(services.time().since(arrivalNanos));
            sink.beginStream(headers(false));
        }
        tokensPassed += attempt.events().takeTokens();
        recordBuilder.answer(data);
        if (!sink.piece(data)) {
            onCallerGone();
        }
    }

    private void onEnd(Attempt attempt, DispatchEnd end) {
        if (end.hasLoad()) {
            services.upstreams().onLoad(attempt.grant().instance().id(), end.getLoad());
        }
        boolean success =
                end.getErrorCode().isEmpty() && end.getVerdict() == org.masticcroft.wire.generated.Verdict.RAN;
        recordBuilder.reported(end.getWeightsDigest());
        if (!success) {
            Verdict verdict =
                    DispatchFactory.verdict(end, attempt.collector().head().isPresent());
            ErrorCode code = DispatchFactory.code(end);
            crashMarks(attempt, end);
            endAttempt(attempt, verdict, code, false);
            placementHints(attempt, code);
            if (verdict == Verdict.RAN) {
                settleRanWithoutAnswer(attempt);
            }
            decide(attempt, verdict, code, end.getErrorMessage());
            return;
        }
        Optional<ErrorCode> flaw = AnswerCheck.flaw(attempt, end, pinned.isPresent());
        if (flaw.isPresent()) {
            rejected(attempt, flaw.get() + " at the end of the answer");
            endAttempt(attempt, Verdict.RAN, flaw.get(), false);
            settleRanWithoutAnswer(attempt);
            decide(attempt, Verdict.RAN, flaw.get(), "the answer of the upstream failed its check");
        } else {
            complete(attempt, end);
        }
    }

    private void complete(Attempt attempt, DispatchEnd end) {
        current = Optional.empty();
        attempt.close(false);
        recordBuilder.attempt(
                attempt.number(),
                attempt.grant(),
                Verdict.RAN,
                Optional.empty(),
                attempt.collector().incarnation());
        services.gate()
                .release(attempt.grant(), Math.max(1, end.getPromptTokens() + end.getCompletionTokens()), Health.GOOD);
        if (attempt.isStreaming()) {
            passOn(attempt, attempt.events().closing());
            finishStream();
        } else {
            StoredAnswer answer = new StoredAnswer(
                    attempt.collector().head().orElseThrow().getStatus(),
                    attempt.collector().head().orElseThrow().getContentType(),
                    attempt.collector().whole());
            settleRan(answer);
            succeed(answer, false);
        }
    }

    private void settleRan(StoredAnswer answer) {
        order.ifPresent(claim -> {
            services.outcomes().put(claim.keyDigest(), answer);
            claim.ran(answer.status(), Optional.of(Preparation.sha256(answer.body())));
        });
    }

    private void settleRanWithoutAnswer(Attempt attempt) {
        int status = attempt.collector().head().map(DispatchHead::getStatus).orElse(0);
        order.ifPresent(claim -> claim.ran(status, Optional.empty()));
    }

    private void crashMarks(Attempt attempt, DispatchEnd end) {
        if (end.getUpstreamCrashed()) {
            String started = attempt.collector().incarnation();
            String incarnation = started.isEmpty() ? end.getEngineIncarnation() : started;
            String fingerprint = attempt.grant().fingerprint();
            int marks = services.suspects().onCrash(attempt.grant().upstream(), incarnation, fingerprint);
            if (marks > 0) {
                services.entries().notifySuspect(fingerprint, marks);
            }
        }
    }

    private void endAttempt(Attempt attempt, Verdict verdict, ErrorCode code, boolean cancel) {
        current = Optional.empty();
        attempt.close(cancel);
        recordBuilder.attempt(
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
        Health health = UNHEALTHY.contains(code) ? Health.BAD : attempt.isHeard() ? Health.GOOD : Health.UNKNOWN;
        int tokens = verdict == Verdict.NOT_RUN ? 0 : 1 + tokensPassed - tokensAtStart;
        services.gate().release(attempt.grant(), tokens, health);
    }

    private void placementHints(Attempt attempt, ErrorCode code) {
        String instance = attempt.grant().instance().id();
        if (code == ErrorCode.BUSY) {
            services.upstreams().onBusy(instance, BUSY_BACKOFF.toNanos());
        } else if (code == ErrorCode.DRAINING) {
            services.upstreams().onLeaving(instance);
        } else if (code == ErrorCode.WEIGHTS_NOT_LOADED) {
            attempt.grant()
                    .weights()
                    .ifPresent(weights -> services.upstreams().onNotLoaded(instance, weights.digest()));
        }
    }

    /** Decides what follows a failed attempt; another attempt only if the verdict permits it. */
    private void decide(Attempt attempt, Verdict verdict, ErrorCode code, String message) {
        if (answered) {
            settleDetached(verdict);
            return;
        }
        RequestSpec spec = prepared.orElseThrow();
        Failure failure = Failure.of(code, recordBuilder.worst(), message);
        if (services.suspects().isQuarantined(spec.fingerprint())) {
            fail(Failure.of(
                    ErrorCode.QUARANTINED, recordBuilder.worst(), "upstreams crashed while they ran this request"));
        } else if (isFinal(code) || !verdict.permitsRetry(spec.idempotent())) {
            fail(failure);
        } else if (PLACED_AGAIN.contains(code)) {
            enqueueAfter(code == ErrorCode.BUSY ? busyBackoff() : Duration.ZERO);
        } else {
            failures++;
            AttemptFailure failed = new AttemptFailure(
                    failures, verdict, code, spec.idempotent(), pinned.isPresent(), pinned.isPresent(), remaining());
            long now = services.time().nanoTime();
            Optional<Duration> backoff =
                    services.policies().retry().nextBackOff(failed, services.retryBudget(), now, services.random());
            excluded.add(attempt.grant().upstream());
            backoff.ifPresentOrElse(this::enqueueAfter, () -> fail(failure));
        }
    }

    /** What a caller already has of a stream from wrong weights can't be taken back by another attempt. */
    private boolean isFinal(ErrorCode code) {
        return FINAL.contains(code) || code == ErrorCode.WEIGHTS_MISMATCH && pinned.isPresent();
    }

    private Duration busyBackoff() {
        return BUSY_BACKOFF.multipliedBy(1L << Math.min(busyRefusals++, MAX_BUSY_DOUBLINGS));
    }

    private void enqueueAfter(Duration delay) {
        if (delay.isZero()) {
            enqueue();
        } else {
            services.timers().schedule(delay, () -> serial.execute(() -> guarded(this::enqueue)));
        }
    }

    private void onDeadline() {
        stopWith(ErrorCode.DEADLINE_EXCEEDED, "the request did not end within its time limit");
    }

    private void onCallerGone() {
        if (order.isEmpty() || current.isEmpty()) {
            stopWith(ErrorCode.CANCELLED, "the caller went away");
        }
    }

    /**
     * Ends the request for the caller. An order that was dispatched is not cancelled: its outcome is still awaited and
     * recorded, because the caller may ask for it again.
     */
    private void stopWith(ErrorCode code, String message) {
        if (answered) {
            return;
        }
        if (current.isEmpty()) {
            boolean claiming = order.map(OrderClaim::isUndecided).orElse(false);
            boolean logLate = claiming && code == ErrorCode.DEADLINE_EXCEEDED;
            fail(Failure.of(logLate ? ErrorCode.LOG_UNAVAILABLE : code, recordBuilder.worst(), message));
        } else if (order.isPresent() && code == ErrorCode.DEADLINE_EXCEEDED) {
            services.timers().schedule(OUTCOME_LIMIT, () -> serial.execute(this::onOutcomeTimeout));
            answerFailure(Failure.of(code, Verdict.MAY_HAVE_RUN, message));
        } else {
            Attempt attempt = current.get();
            endAttempt(attempt, Verdict.MAY_HAVE_RUN, code, order.isEmpty());
            fail(Failure.of(code, recordBuilder.worst(), message));
        }
    }

    private void onOutcomeTimeout() {
        current.ifPresent(attempt -> endAttempt(attempt, Verdict.MAY_HAVE_RUN, ErrorCode.DEADLINE_EXCEEDED, false));
        ended.complete(null);
    }

    /** Records the outcome of an order whose caller was already told that it may have run. */
    private void settleDetached(Verdict verdict) {
        if (verdict == Verdict.NOT_RUN) {
            order.ifPresent(OrderClaim::notRun);
        }
        ended.complete(null);
    }

    private void fail(Failure failure) {
        if (answered) {
            return;
        }
        if (failure.verdict() == Verdict.NOT_RUN) {
            order.ifPresent(OrderClaim::notRun);
        }
        answerFailure(failure);
        ended.complete(null);
    }

    private void answerFailure(Failure failure) {
        answered = true;
        finishWaiting();
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
                attempts);
        int status = pinned.isPresent() ? 200 : failure.code().httpStatus();
        record(failure.verdict(), Optional.of(failure.code()), status);
        tell(() -> sink.failure(headers(false), failure));
    }

    private void finishStream() {
        if (answered) {
            return;
        }
        answered = true;
        finishWaiting();
        success(200);
        tell(sink::endStream);
        ended.complete(null);
    }

    private void succeed(StoredAnswer answer, boolean replayed) {
        if (!answered) {
            answered = true;
            finishWaiting();
            recordBuilder.answer(answer.body());
            success(answer.status());
            tell(() -> sink.whole(headers(replayed), answer));
        }
        ended.complete(null);
    }

    private void success(int status) {
        EventLog.info(
                Event.REQUEST_FINISHED,
                "request",
                requestId,
                "customer",
                identity.customer(),
                "verdict",
                Verdict.RAN,
                "attempts",
                attempts,
                "ms",
                services.time().since(arrivalNanos).toMillis());
        record(Verdict.RAN, Optional.empty(), status);
    }

    private void finishWaiting() {
        deadline.ifPresent(Timers.Timer::cancel);
        waiting.ifPresent(services.gate()::cancel);
        waiting = Optional.empty();
    }

    private void record(Verdict verdict, Optional<ErrorCode> code, int status) {
        Instant now = services.time().now();
        long uncertainty = services.settings().clockUncertainty().toMillis();
        tell(() -> services.account().write(recordBuilder.close(now, uncertainty, verdict, code, status)));
        String name = identity.rank().isEmpty() ? "unknown" : identity.rank();
        services.metrics().timer("entry.request." + name).update(services.time().since(arrivalNanos));
        code.ifPresent(
                failed -> services.metrics().counter("entry.failure." + failed).inc());
    }

    private AnswerHeaders headers(boolean replayed) {
        return new AnswerHeaders(
                requestId,
                recordBuilder.weights(),
                recordBuilder.upstream(),
                services.config().state().version(),
                services.config().confirmed()
                        ? Optional.empty()
                        : Optional.of(Duration.ofMillis(ConfigAge.millis(services.config()))),
                replayed);
    }

    private void admissionRefused(ErrorCode code, Duration retryAfter) {
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
        fail(Failure.of(code, recordBuilder.worst(), "the request was not admitted")
                .retryAfter(retryAfter));
    }

    private void rejected(Attempt attempt, String reason) {
        EventLog.warn(Event.REPLY_REJECTED, "request", requestId, "attempt", attempt.number(), "reason", reason);
    }

    private Duration remaining() {
        Duration timeout = arrivalConfig.config().limits().requestTimeout();
        return timeout.minus(services.time().since(arrivalNanos));
    }

    /** Runs the last steps of a request; a caller or an account that fails must not keep it from ending. */
    private void tell(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            EventLog.error(Event.INTERNAL_ERROR, e, "request", requestId);
        }
    }

    /** Reports every exception of a step to the caller, so that no request is left without an answer. */
    private void guarded(Runnable step) {
        try {
            step.run();
        } catch (MasticcroftException e) {
            fail(Failure.of(e));
        } catch (RuntimeException e) {
            EventLog.error(Event.INTERNAL_ERROR, e, "request", requestId);
            stopWith(ErrorCode.INTERNAL, "internal error");
        }
    }

    /** The request as a waiter of the admission gate. */
    private final class Place implements Waiter {
        private final RequestSpec spec;
        private final Ticket ticket;
        private final UpstreamQuery query;
        private final boolean admittedBefore = attempts > 0;

        private Place(RequestSpec spec, Target target) {
            this.spec = spec;
            this.ticket = new Ticket(
                    requestId,
                    identity.customer(),
                    identity.weight(),
                    identity.rank(),
                    Math.max(1, spec.estimatedTokens() - tokensPassed),
                    arrivalNanos);
            this.query = new UpstreamQuery(
                    target, pinned.map(Weights::digest), identity.rankOrder() == 0, excluded, upstream -> true);
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
            serial.execute(() -> guarded(() -> RequestRun.this.onGranted(this, grant)));
        }

        @Override
        public void onRefused(ErrorCode code, Duration retryAfter) {
            serial.execute(() -> {
                if (!answered && waiting.equals(Optional.of(this))) {
                    waiting = Optional.empty();
                    admissionRefused(code, retryAfter);
                }
            });
        }
    }
}
