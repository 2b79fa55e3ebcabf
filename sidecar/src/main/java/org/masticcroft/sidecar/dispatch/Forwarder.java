package org.masticcroft.sidecar.dispatch;

import com.google.protobuf.ByteString;
import java.security.MessageDigest;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.masticcroft.ports.service.UpstreamResponse;
import org.masticcroft.ports.weights.Sha256;
import org.masticcroft.wire.PeerResponder;
import org.masticcroft.wire.generated.Dispatch;
import org.masticcroft.wire.generated.DispatchChunk;
import org.masticcroft.wire.generated.DispatchHead;
import org.masticcroft.wire.generated.Envelope;

/** Forwards a response to the entry in numbered chunks. Used by one worker thread. */
final class Forwarder {
    /** Chunks of this size keep the send buffer of the connection small and do not delay its other calls. */
    static final int MAX_CHUNK_BYTES = 64 << 10;

    private static final long WRITABLE_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    private final ActiveDispatch active;
    private final PeerResponder responder;
    private final MessageDigest sha256 = Sha256.newDigest();
    private int sequence;
    private long byteCount;
    private boolean headSent;

    Forwarder(ActiveDispatch active) {
        this.active = Objects.requireNonNull(active, "active");
        this.responder = active.responder();
    }

    long byteCount() {
        return byteCount;
    }

    byte[] sha256() {
        return headSent ? sha256.digest() : new byte[0];
    }

    void sendHead(UpstreamResponse response) {
        if (!headSent) {
            headSent = true;
            Dispatch dispatch = active.dispatch();
            responder.send(Envelope.newBuilder()
                    .setDispatchHead(DispatchHead.newBuilder()
                            .setRequestId(dispatch.getRequestId())
                            .setAttempt(dispatch.getAttempt())
                            .setStatus(response.status())
                            .setContentType(response.contentType())));
        }
    }

    void sendBody(byte[] data) {
        for (int from = 0; from < data.length; from += MAX_CHUNK_BYTES) {
            int length = Math.min(MAX_CHUNK_BYTES, data.length - from);
            awaitWritable();
            sha256.update(data, from, length);
            byteCount += length;
            responder.send(Envelope.newBuilder()
                    .setDispatchChunk(DispatchChunk.newBuilder()
                            .setSequence(sequence++)
                            .setData(ByteString.copyFrom(data, from, length))));
        }
    }

    /** Applies backpressure: waits until the connection is writable or lost, or until a stop is requested. */
    private void awaitWritable() {
        while (!responder.isWritable()
                && responder.isOpen()
                && active.stopReason().isEmpty()) {
            LockSupport.parkNanos(WRITABLE_POLL_NANOS);
        }
    }
}
