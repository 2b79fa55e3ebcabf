package org.masticcroft.entry.request;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Optional;
import org.masticcroft.wire.generated.DispatchChunk;
import org.masticcroft.wire.generated.DispatchEnd;
import org.masticcroft.wire.generated.DispatchHead;
import org.masticcroft.wire.generated.DispatchStarted;
import org.masticcroft.wire.generated.Envelope;

/**
 * Collects the answer of one attempt and checks that its messages belong to the attempt, arrive in sequence and are
 * complete. Each check returns a description of the violation, if there is one. Not thread-safe.
 */
final class AnswerCollector {
    /** Limits the memory for an answer that is not streamed. */
    static final int MAX_BODY_BYTES = 16 << 20;

    private final String requestId;
    private final int attempt;
    private final MessageDigest digest = newSha256();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Optional<Long> callId = Optional.empty();
    private Optional<DispatchHead> head = Optional.empty();
    private String incarnation = "";
    private long byteCount;
    private int nextSequence;

    private AnswerCollector(String requestId, int attempt) {
        this.requestId = requestId;
        this.attempt = attempt;
    }

    static AnswerCollector of(String requestId, int attempt) {
        return new AnswerCollector(requestId, attempt);
    }

    Optional<DispatchHead> head() {
        return head;
    }

    String incarnation() {
        return incarnation;
    }

    byte[] body() {
        return body.toByteArray();
    }

    /** Checks that a reply belongs to the same call as the first one. */
    Optional<String> checkCallId(Envelope envelope) {
        if (callId.isEmpty()) {
            callId = Optional.of(envelope.getCallId());
        }
        return callId.get() == envelope.getCallId()
                ? Optional.empty()
                : Optional.of("a reply of call " + envelope.getCallId() + " arrived in call " + callId.get());
    }

    Optional<String> onStarted(DispatchStarted started) {
        incarnation = started.getEngineIncarnation();
        return checkIds(started.getRequestId(), started.getAttempt());
    }

    Optional<String> onHead(DispatchHead newHead) {
        Optional<String> violation = checkIds(newHead.getRequestId(), newHead.getAttempt());
        if (violation.isEmpty() && head.isPresent()) {
            return Optional.of("the head of the answer arrived twice");
        }
        head = Optional.of(newHead);
        return violation;
    }

    Optional<String> onChunk(DispatchChunk chunk, boolean buffer) {
        if (head.isEmpty()) {
            return Optional.of("a chunk of the answer arrived before its head");
        }
        if (chunk.getSequence() != nextSequence) {
            return Optional.of("chunk " + chunk.getSequence() + " of the answer arrived instead of " + nextSequence);
        }
        nextSequence++;
        byteCount += chunk.getData().size();
        digest.update(chunk.getData().asReadOnlyByteBuffer());
        if (buffer) {
            if (byteCount > MAX_BODY_BYTES) {
                return Optional.of("the answer exceeds " + MAX_BODY_BYTES + " bytes");
            }
            body.writeBytes(chunk.getData().toByteArray());
        }
        return Optional.empty();
    }

    /** Checks the request id and the attempt number of the last message. */
    Optional<String> onEnd(DispatchEnd end) {
        return checkIds(end.getRequestId(), end.getAttempt());
    }

    /** Checks the last message of a successful attempt against the chunks received; may be called only once. */
    Optional<String> checkComplete(DispatchEnd end) {
        if (head.isEmpty()) {
            return Optional.of("the answer has no head");
        }
        if (end.getByteCount() != byteCount) {
            return Optional.of("the answer has " + end.getByteCount() + " bytes, of which " + byteCount + " arrived");
        }
        boolean digestMatches = ByteString.copyFrom(digest.digest()).equals(end.getAnswerSha256());
        return digestMatches
                ? Optional.empty()
                : Optional.of("the digest of the answer differs from the data received");
    }

    private Optional<String> checkIds(String replyRequestId, int replyAttempt) {
        return requestId.equals(replyRequestId) && attempt == replyAttempt
                ? Optional.empty()
                : Optional.of("a reply to attempt " + replyAttempt + " of request " + replyRequestId + " arrived");
    }

    private static MessageDigest newSha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }
}
