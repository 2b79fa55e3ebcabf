package org.masticcroft.sidecar.dispatch;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.ports.service.UpstreamCall;
import org.masticcroft.ports.service.UpstreamResponse;
import org.masticcroft.wire.generated.Dispatch;
import org.masticcroft.wire.generated.DispatchStarted;
import org.masticcroft.wire.generated.Envelope;

/** Runs one dispatch on the upstream. Used by one worker thread. */
final class DispatchRun {
    private static final int READ_BUFFER_BYTES = 16 << 10;
    private static final int SERVER_ERROR = 500;

    private final ActiveDispatch active;
    private final Dispatch dispatch;
    private final UpstreamConnector connector;
    private final TimeSource time;
    private final Forwarder forwarder;
    private Optional<Instant> sentAt = Optional.empty();
    private Optional<UpstreamResponse> response = Optional.empty();
    private Optional<Answer> answer = Optional.empty();

    DispatchRun(ActiveDispatch active, UpstreamConnector connector, TimeSource time) {
        this.active = Objects.requireNonNull(active, "active");
        this.dispatch = active.dispatch();
        this.connector = Objects.requireNonNull(connector, "connector");
        this.time = Objects.requireNonNull(time, "time");
        this.forwarder = new Forwarder(active);
    }

    /** Runs the dispatch and returns how it ended. */
    Outcome run() {
        String incarnation = connector.incarnation();
        try {
            return exchange(incarnation);
        } catch (MasticcroftException e) {
            return failed(incarnation, e.verdict(), e.code(), e.getMessage());
        } catch (IOException e) {
            return failed(
                    incarnation,
                    Verdict.MAY_HAVE_RUN,
                    ErrorCode.ANSWER_INCOMPLETE,
                    "the response broke off: " + e.getMessage());
        }
    }

    private Outcome exchange(String incarnation) throws IOException {
        if (active.stopReason().isPresent()) {
            return Outcome.refusal(active.stopReason().get(), "stopped before it was sent to the upstream");
        }
        active.responder()
                .send(Envelope.newBuilder()
                        .setDispatchStarted(DispatchStarted.newBuilder()
                                .setRequestId(dispatch.getRequestId())
                                .setAttempt(dispatch.getAttempt())
                                .setEngineIncarnation(incarnation)));
        sentAt = Optional.of(time.now());
        UpstreamCall call = connector.open(dispatch);
        if (active.opened(call)) {
            call.abort();
        }
        UpstreamResponse head = call.await();
        response = Optional.of(head);
        try (InputStream body = head.body()) {
            if (head.status() >= SERVER_ERROR) {
                return Outcome.failure(
                        Verdict.MAY_HAVE_RUN,
                        ErrorCode.UPSTREAM_FAILED,
                        "the upstream answered with status " + head.status(),
                        report());
            }
            forward(head, body, incarnation);
        }
        return Outcome.success(report());
    }

    private void forward(UpstreamResponse head, InputStream body, String incarnation) throws IOException {
        Answer check = connector.answer(dispatch, head, incarnation);
        answer = Optional.of(check);
        byte[] buffer = new byte[READ_BUFFER_BYTES];
        ByteArrayOutputStream passOn = new ByteArrayOutputStream();
        for (int length = body.read(buffer); length >= 0; length = body.read(buffer)) {
            try {
                check.accept(buffer, length, passOn);
            } finally {
                pass(head, passOn);
            }
        }
        check.end(passOn);
        forwarder.head(head);
        pass(head, passOn);
    }

    private void pass(UpstreamResponse head, ByteArrayOutputStream passOn) {
        if (passOn.size() > 0) {
            forwarder.head(head);
            forwarder.data(passOn.toByteArray());
            passOn.reset();
        }
    }

    private Outcome failed(String incarnation, Verdict verdict, ErrorCode code, String message) {
        Optional<ErrorCode> stop = active.stopReason();
        if (stop.isPresent()) {
            active.awaitStopped();
            return Outcome.failure(verdict, stop.get(), "stopped: " + stop.get(), report());
        }
        Outcome outcome = Outcome.failure(verdict, code, message, report());
        if (code == ErrorCode.BUSY || code == ErrorCode.MALFORMED_REQUEST) {
            return outcome;
        }
        boolean ended = connector.hasEnded(incarnation);
        return ended && verdict == Verdict.MAY_HAVE_RUN ? outcome.withCrash() : outcome;
    }

    private Outcome.Report report() {
        return new Outcome.Report(
                sentAt,
                response.flatMap(UpstreamResponse::weightsDigest).orElse(""),
                response.flatMap(UpstreamResponse::incarnation).orElse(""),
                forwarder.byteCount(),
                forwarder.sha256(),
                answer.map(Answer::usage).orElse(Answer.Usage.NONE));
    }
}
