package org.masticcroft.sidecar.dispatch;

import java.io.ByteArrayOutputStream;
import org.masticcroft.kernel.error.MasticcroftException;

/** Checks the body of a response while it arrives and says which bytes may be passed on. Used by one thread. */
public interface Answer {
    /**
     * Takes bytes from the upstream.
     *
     * @param passOn receives the bytes that may be passed on now
     * @throws MasticcroftException if the response is not the one that was asked for
     */
    void accept(byte[] data, int length, ByteArrayOutputStream passOn);

    /**
     * Takes the end of the body.
     *
     * @throws MasticcroftException with {@code ANSWER_INCOMPLETE} if the response is not complete
     */
    void end(ByteArrayOutputStream passOn);

    /** Returns the token counts that the upstream reported so far. */
    default Usage usage() {
        return Usage.NONE;
    }

    /**
     * Token counts.
     *
     * @param promptTokens tokens of the prompt
     * @param completionTokens generated tokens
     */
    record Usage(int promptTokens, int completionTokens) {
        static final Usage NONE = new Usage(0, 0);
    }
}
