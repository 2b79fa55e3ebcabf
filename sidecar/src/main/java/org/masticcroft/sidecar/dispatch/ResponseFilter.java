package org.masticcroft.sidecar.dispatch;

import java.io.ByteArrayOutputStream;
import org.masticcroft.kernel.error.MasticcroftException;

/**
 * Validates the body of a response as it arrives and releases the bytes that may be forwarded to the entry. Not
 * thread-safe; each response has a filter of its own.
 */
public interface ResponseFilter {
    /**
     * Processes the first {@code length} bytes of {@code data}, which continue the body.
     *
     * @param output receives the bytes that may be forwarded now
     * @throws MasticcroftException if the response is invalid, incomplete or comes from other weights
     */
    void accept(byte[] data, int length, ByteArrayOutputStream output);

    /**
     * Processes the end of the body.
     *
     * @param output receives the remaining bytes
     * @throws MasticcroftException with {@code ANSWER_INCOMPLETE} if the response is not complete
     */
    void end(ByteArrayOutputStream output);

    /** Returns the token counts that the upstream has reported so far; zero if it reports none. */
    default Usage usage() {
        return Usage.NONE;
    }

    /**
     * Token counts of a request.
     *
     * @param promptTokens number of tokens in the prompt
     * @param completionTokens number of generated tokens
     */
    record Usage(int promptTokens, int completionTokens) {
        static final Usage NONE = new Usage(0, 0);
    }
}
