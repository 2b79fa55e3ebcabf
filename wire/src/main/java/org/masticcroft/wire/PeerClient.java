package org.masticcroft.wire;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.masticcroft.wire.generated.Envelope;

/** Client side of the peer protocol. Keeps one connection per address. Safe for use by many threads. */
public interface PeerClient extends AutoCloseable {
    /**
     * Opens a call. Failures to connect are reported to the listener.
     *
     * @param address address of the peer
     * @param request first message; the transport sets the call id
     * @param listener receives the replies
     */
    PeerCall open(InetSocketAddress address, Envelope.Builder request, PeerCallListener listener);

    /**
     * Sends a request and returns its first reply.
     *
     * @param timeout time after which the future fails with code {@code DEADLINE_EXCEEDED}
     */
    CompletableFuture<Envelope> call(InetSocketAddress address, Envelope.Builder request, Duration timeout);

    @Override
    void close();
}
