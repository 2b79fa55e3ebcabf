package org.masticcroft.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the parts of a response in order, on the event loop. */
public interface ResponseListener {
    /** Returns the id of the request, which its response names; empty if the protocol of the call has no ids. */
    default String requestId() {
        return "";
    }

    /** Called when the connection is established, before the request is sent; may cancel the call. */
    default void onConnected() {}

    /**
     * Returns whether a response belongs to the request. An upstream may send the response to an earlier request late,
     * or once more; such a response is skipped.
     */
    default ResponseMatch match(HttpResponse head) {
        return ResponseMatch.OWN;
    }

    /** Called with the status and the headers. */
    void onHead(HttpResponse head);

    /** Called with a part of the body; the buffer is released after the call. */
    void onContent(ByteBuf content);

    /** Called once when the response is complete. */
    void onEnd();

    /**
     * Called instead of {@link #onEnd()} if more bytes came right behind the response. The upstream may then have
     * truncated it, so that the bytes of another response completed its declared length.
     */
    default void onEndFollowedByBytes() {
        onEnd();
    }

    /** Called once when the call fails before the response is complete. */
    void onFailure(CallFailure failure);
}
