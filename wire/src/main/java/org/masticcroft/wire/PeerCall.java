package org.masticcroft.wire;

import org.masticcroft.wire.generated.Envelope;

/** An open call to a peer. */
public interface PeerCall extends AutoCloseable {
    /** Sends another message of this call; the transport sets the call id. */
    void send(Envelope.Builder message);

    /** Closes the call: later replies are dropped. Does not notify the peer. */
    @Override
    void close();
}
