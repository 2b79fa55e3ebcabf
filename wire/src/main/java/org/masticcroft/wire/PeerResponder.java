package org.masticcroft.wire;

import org.masticcroft.wire.generated.Envelope;

/** Sends the replies of one call. Safe for use by many threads; equal to itself only, so it can be a map key. */
public interface PeerResponder {
    /** Sends a reply; the call id is set by the transport. Dropped silently if the connection is lost. */
    void send(Envelope.Builder reply);

    /** Sends the last reply and forgets the call. */
    void finish(Envelope.Builder reply);

    /** Returns whether the connection accepts more data without buffering beyond its high-water mark. */
    boolean isWritable();

    /** Returns whether the connection is still open. */
    boolean isOpen();
}
