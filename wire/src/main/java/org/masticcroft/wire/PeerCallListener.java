package org.masticcroft.wire;

import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.wire.generated.Envelope;

/**
 * Receives the replies of one call. Methods are called in order, by one thread at a time, on an I/O thread of the
 * transport; they must not block.
 */
public interface PeerCallListener {
    /** Called for each reply to this call. */
    void onReply(Envelope reply);

    /**
     * Called at most once, if no connection was established or it was lost before the call was closed.
     *
     * @param failure has verdict {@code NOT_RUN} if the request was certainly not sent, otherwise {@code MAY_HAVE_RUN}
     */
    void onFailure(MasticcroftException failure);
}
