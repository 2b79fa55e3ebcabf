package org.masticcroft.wire;

import org.masticcroft.wire.generated.Envelope;

/** Sends the replies of one call. Safe for use by many threads. Compared by identity, so it can be a map key. */
public interface PeerResponder {
    /** Sends a reply; the transport sets the call id. Replies are silently dropped after the connection is lost. */
    void send(Envelope.Builder reply);

    /** Sends the last reply and closes the call. */
    void finish(Envelope.Builder reply);

    /** Returns whether the connection accepts more data without buffering beyond its high-water mark. */
    boolean isWritable();

    /** Returns whether the connection is still open. */
    boolean isOpen();
}
