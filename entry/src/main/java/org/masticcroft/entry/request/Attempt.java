package org.masticcroft.entry.request;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.masticcroft.entry.admission.Grant;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.wire.PeerCall;
import org.masticcroft.wire.PeerCallListener;
import org.masticcroft.wire.generated.Cancel;
import org.masticcroft.wire.generated.Envelope;

/** One dispatch to a sidecar. Its replies and failures are handled on the serial executor of the request. */
final class Attempt implements PeerCallListener {
    private static final long SILENCE_TIMEOUT_NANOS = 2_000_000_000L;

    private final int number;
    private final Grant grant;
    private final AnswerCollector collector;
    private final EventStream events = EventStream.empty();
    private final Executor serial;
    private final BiConsumer<Attempt, Envelope> replyHandler;
    private final BiConsumer<Attempt, MasticcroftException> failureHandler;
    private Optional<PeerCall> call = Optional.empty();
    private boolean streaming;
    private boolean replied;
    private long lastReplyNanos;

    Attempt(
            int number,
            Grant grant,
            String requestId,
            Executor serial,
            BiConsumer<Attempt, Envelope> replyHandler,
            BiConsumer<Attempt, MasticcroftException> failureHandler) {
        this.number = number;
        this.grant = grant;
        this.collector = AnswerCollector.of(requestId, number);
        this.serial = serial;
        this.replyHandler = replyHandler;
        this.failureHandler = failureHandler;
    }

    int number() {
        return number;
    }

    Grant grant() {
        return grant;
    }

    AnswerCollector collector() {
        return collector;
    }

    EventStream events() {
        return events;
    }

    boolean isStreaming() {
        return streaming;
    }

    /** Returns whether the sidecar has sent any reply. */
    boolean hasReplied() {
        return replied;
    }

    /** Returns whether no reply has arrived yet, or none within the silence timeout. */
    boolean isSilent(long nowNanos) {
        return !replied || nowNanos - lastReplyNanos >= SILENCE_TIMEOUT_NANOS;
    }

    void attachCall(PeerCall newCall) {
        call = Optional.of(newCall);
    }

    /** Checks a reply and collects its data; returns the violation, if there is one. */
    Optional<String> accept(Envelope envelope, boolean streamRequested, long nowNanos) {
        replied = true;
        lastReplyNanos = nowNanos;
        Optional<String> violation = collector.checkCallId(envelope);
        if (violation.isPresent()) {
            return violation;
        }
        return switch (envelope.getBodyCase()) {
            case DISPATCH_STARTED -> collector.onStarted(envelope.getDispatchStarted());
            case DISPATCH_HEAD -> {
                streaming = streamRequested
                        && envelope.getDispatchHead().getStatus() == 200
                        && envelope.getDispatchHead().getContentType().startsWith("text/event-stream");
                yield collector.onHead(envelope.getDispatchHead());
            }
            case DISPATCH_CHUNK -> collector.onChunk(envelope.getDispatchChunk(), !streaming);
            case DISPATCH_END -> collector.onEnd(envelope.getDispatchEnd());
            default -> Optional.of("unexpected reply " + envelope.getBodyCase());
        };
    }

    /** Ends the call, so that later replies are dropped; {@code cancel} tells the sidecar to stop. */
    void close(boolean cancel) {
        call.ifPresent(openCall -> {
            if (cancel) {
                openCall.send(Envelope.newBuilder().setCancel(Cancel.getDefaultInstance()));
            }
            openCall.close();
        });
    }

    @Override
    public void onReply(Envelope reply) {
        serial.execute(() -> replyHandler.accept(this, reply));
    }

    @Override
    public void onFailure(MasticcroftException failure) {
        serial.execute(() -> failureHandler.accept(this, failure));
    }
}
