package org.masticcroft.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the parts of an answer in order, on the event loop. */
public interface ResponseListener {
    /**
     * Returns whether an answer belongs to the request. An upstream may send an answer to an earlier request late; such
     * an answer is skipped.
     */
    default boolean accepts(HttpResponse head) {
        return true;
    }

    /** Receives status and headers. */
    void onHead(HttpResponse head);

    /** Receives a part of the body; the buffer is released after the call. */
    void onContent(ByteBuf content);

    /** Is called once when the answer is complete. */
    void onEnd();

    /** Is called once when the answer cannot be completed any more. */
    void onFailure(CallFailure failure);
}
