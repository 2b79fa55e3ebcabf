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

/** Sends one dispatch to the upstream and forwards the response to the entry. Used by one worker thread. */
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
    private Optional<ResponseFilter> responseFilter = Optional.empty();

    DispatchRun(ActiveDispatch active, UpstreamConnector connector, TimeSource time) {
        this.active = Objects.requireNonNull(active, "active");
        this.dispatch = active.dispatch();
        this.connector = Objects.requireNonNull(connector, "connector");
        this.time = Objects.requireNonNull(time, "time");
        this.forwarder = new Forwarder(active);
    }

    /** Executes the dispatch and returns its outcome. Blocks until the response is complete or has failed. */
    Outcome run() {
        String incarnation = connector.incarnation();
        try {
            return exchange(incarnation);
        } catch (MasticcroftException e) {
            return failure(incarnation, e.verdict(), e.code(), e.getMessage());
        } catch (IOException e) {
            return failure(
                    incarnation,
                    Verdict.MAY_HAVE_RUN,
                    ErrorCode.ANSWER_INCOMPLETE,
                    "the connection was lost before the response was complete: " + e.getMessage());
        }
    }

    private Outcome exchange(String incarnation) throws IOException {
        if (active.stopReason().isPresent()) {
            return Outcome.refusal(
                    active.stopReason().get(), "the request was stopped before it was sent to the upstream");
        }
        active.responder()
                .send(Envelope.newBuilder()
                        .setDispatchStarted(DispatchStarted.newBuilder()
                                .setRequestId(dispatch.getRequestId())
                                .setAttempt(dispatch.getAttempt())
                                .setEngineIncarnation(incarnation)));
        sentAt = Optional.of(time.now());
        UpstreamCall call = connector.open(dispatch);
        if (active.setCall(call)) {
            call.abort();
        }
        UpstreamResponse head = call.await();
        response = Optional.of(head);
        try (InputStream body = head.body()) {
            if (head.status() >= SERVER_ERROR) {
                return Outcome.failure(
                        Verdict.MAY_HAVE_RUN,
                        ErrorCode.UPSTREAM_FAILED,
                        "the upstream responded with status " + head.status(),
                        responseSummary());
            }
            forward(head, body, incarnation);
        }
        return Outcome.success(responseSummary());
    }

    private void forward(UpstreamResponse head, InputStream body, String incarnation) throws IOException {
        ResponseFilter filter = connector.responseFilter(dispatch, head, incarnation);
        responseFilter = Optional.of(filter);
        byte[] buffer = new byte[READ_BUFFER_BYTES];
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        for (int length = body.read(buffer); length >= 0; length = body.read(buffer)) {
            try {
                filter.accept(buffer, length, output);
            } finally {
                forwardOutput(head, output);
            }
        }
        filter.end(output);
        forwarder.sendHead(head);
        forwardOutput(head, output);
    }

    private void forwardOutput(UpstreamResponse head, ByteArrayOutputStream output) {
        if (output.size() > 0) {
            forwarder.sendHead(head);
            forwarder.sendBody(output.toByteArray());
            output.reset();
        }
    }

    private Outcome failure(String incarnation, Verdict verdict, ErrorCode code, String message) {
        Optional<ErrorCode> stopReason = active.stopReason();
        if (stopReason.isPresent()) {
            active.awaitStopped();
            return Outcome.failure(
                    verdict, stopReason.get(), "the request was stopped: " + stopReason.get(), responseSummary());
        }
        Outcome outcome = Outcome.failure(verdict, code, message, responseSummary());
        if (code == ErrorCode.BUSY || code == ErrorCode.MALFORMED_REQUEST) {
            return outcome;
        }
        boolean processEnded = connector.hasProcessEnded(incarnation);
        return processEnded && verdict == Verdict.MAY_HAVE_RUN ? outcome.withCrash() : outcome;
    }

    private Outcome.ResponseSummary responseSummary() {
        return new Outcome.ResponseSummary(
                sentAt,
                response.flatMap(UpstreamResponse::weightsDigest).orElse(""),
                response.flatMap(UpstreamResponse::incarnation).orElse(""),
                forwarder.byteCount(),
                forwarder.sha256(),
                responseFilter.map(ResponseFilter::usage).orElse(ResponseFilter.Usage.NONE));
    }
}
