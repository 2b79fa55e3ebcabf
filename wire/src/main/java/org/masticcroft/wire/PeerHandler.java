package org.masticcroft.wire;

import org.masticcroft.wire.generated.Envelope;

/** Handles the calls that a {@link PeerServer} receives. Methods run on an I/O thread and must not block. */
public interface PeerHandler {
    /** Called for the first message of a call. */
    void onRequest(Envelope request, PeerResponder responder);

    /** Called for each further message of a call, for example {@code Cancel}. */
    default void onMessage(Envelope message, PeerResponder responder) {}

    /** Called once for each open call when its connection is lost. */
    default void onDisconnect(PeerResponder responder) {}
}
