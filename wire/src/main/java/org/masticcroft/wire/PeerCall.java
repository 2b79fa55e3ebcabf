package org.masticcroft.wire;

import org.masticcroft.wire.generated.Envelope;

/** An open call to a peer. */
public interface PeerCall extends AutoCloseable {
    /** Sends a further message on this call; the call id is set by the transport. */
    void send(Envelope.Builder message);

    /** Ends the call: later replies with its call id are dropped. Does not notify the peer. */
    @Override
    void close();
}
