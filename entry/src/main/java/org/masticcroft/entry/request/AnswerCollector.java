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
 * Checks that the pieces of an answer belong to one attempt, arrive in sequence and are complete. Each method returns
 * the violation, if there is one. Not safe for use by many threads.
 */
final class AnswerCollector {
    /** Bounds the memory of one whole answer. */
    static final int MAX_WHOLE_BYTES = 16 << 20;

    private final String requestId;
    private final int attempt;
    private final MessageDigest digest = newSha256();
    private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
    private Optional<Long> callId = Optional.empty();
    private Optional<DispatchHead> head = Optional.empty();
    private String incarnation = "";
    private long bytes;
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

    byte[] whole() {
        return whole.toByteArray();
    }

    /** Checks that a reply belongs to the same call as the first one. */
    Optional<String> onEnvelope(Envelope envelope) {
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

    Optional<String> onChunk(DispatchChunk chunk, boolean keep) {
        if (head.isEmpty()) {
            return Optional.of("a piece of the answer arrived before its head");
        }
        if (chunk.getSequence() != nextSequence) {
            return Optional.of("piece " + chunk.getSequence() + " of the answer arrived instead of " + nextSequence);
        }
        nextSequence++;
        bytes += chunk.getData().size();
        digest.update(chunk.getData().asReadOnlyByteBuffer());
        if (keep) {
            if (bytes > MAX_WHOLE_BYTES) {
                return Optional.of("the answer exceeds " + MAX_WHOLE_BYTES + " bytes");
            }
            whole.writeBytes(chunk.getData().toByteArray());
        }
        return Optional.empty();
    }

    /** Checks the ids of the last message. */
    Optional<String> onEnd(DispatchEnd end) {
        return checkIds(end.getRequestId(), end.getAttempt());
    }

    /** Checks the last message of a successful attempt against the pieces received; to be called once. */
    Optional<String> checkComplete(DispatchEnd end) {
        if (head.isEmpty()) {
            return Optional.of("the answer has no head");
        }
        if (end.getByteCount() != bytes) {
            return Optional.of("the answer has " + end.getByteCount() + " bytes, of which " + bytes + " arrived");
        }
        boolean same = ByteString.copyFrom(digest.digest()).equals(end.getAnswerSha256());
        return same ? Optional.empty() : Optional.of("the digest of the answer differs from the data received");
    }

    private Optional<String> checkIds(String otherRequest, int otherAttempt) {
        return requestId.equals(otherRequest) && attempt == otherAttempt
                ? Optional.empty()
                : Optional.of("a reply to attempt " + otherAttempt + " of request " + otherRequest + " arrived");
    }

    private static MessageDigest newSha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }
}
