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

/** One dispatch to a sidecar. Its events are handed to the serial executor of the request. */
final class Attempt implements PeerCallListener {
    private final int number;
    private final Grant grant;
    private final AnswerCollector collector;
    private final EventStream events = EventStream.empty();
    private final Executor serial;
    private final BiConsumer<Attempt, Envelope> replies;
    private final BiConsumer<Attempt, MasticcroftException> failures;
    private Optional<PeerCall> call = Optional.empty();
    private boolean streaming;
    private boolean heard;

    Attempt(
            int number,
            Grant grant,
            String requestId,
            Executor serial,
            BiConsumer<Attempt, Envelope> replies,
            BiConsumer<Attempt, MasticcroftException> failures) {
        this.number = number;
        this.grant = grant;
        this.collector = AnswerCollector.of(requestId, number);
        this.serial = serial;
        this.replies = replies;
        this.failures = failures;
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

    /** Returns whether the sidecar has replied at all. */
    boolean isHeard() {
        return heard;
    }

    void opened(PeerCall newCall) {
        call = Optional.of(newCall);
    }

    /** Checks a reply and takes its data; returns the violation, if there is one. */
    Optional<String> accept(Envelope envelope, boolean streamWanted) {
        heard = true;
        Optional<String> violation = collector.onEnvelope(envelope);
        if (violation.isPresent()) {
            return violation;
        }
        return switch (envelope.getBodyCase()) {
            case DISPATCH_STARTED -> collector.onStarted(envelope.getDispatchStarted());
            case DISPATCH_HEAD -> {
                streaming = streamWanted
                        && envelope.getDispatchHead().getStatus() == 200
                        && envelope.getDispatchHead().getContentType().startsWith("text/event-stream");
                yield collector.onHead(envelope.getDispatchHead());
            }
            case DISPATCH_CHUNK -> collector.onChunk(envelope.getDispatchChunk(), !streaming);
            case DISPATCH_END -> collector.onEnd(envelope.getDispatchEnd());
            default -> Optional.of("unexpected reply " + envelope.getBodyCase());
        };
    }

    /** Tells the sidecar to stop, if wanted, and drops later replies. */
    void close(boolean cancel) {
        call.ifPresent(open -> {
            if (cancel) {
                open.send(Envelope.newBuilder().setCancel(Cancel.getDefaultInstance()));
            }
            open.close();
        });
    }

    @Override
    public void onReply(Envelope reply) {
        serial.execute(() -> replies.accept(this, reply));
    }

    @Override
    public void onFailure(MasticcroftException failure) {
        serial.execute(() -> failures.accept(this, failure));
    }
}
