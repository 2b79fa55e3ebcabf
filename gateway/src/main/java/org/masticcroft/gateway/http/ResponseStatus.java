package org.masticcroft.gateway.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

/** Tells final responses from interim ones and from those whose status is not valid, which failing servers send. */
final class ResponseStatus {
    private static final int FIRST_FINAL = 200;
    private static final int LAST_FINAL = 599;

    private ResponseStatus() {}

    /** Returns whether a response may be the final one: its status is in 200 to 599. */
    static boolean isFinal(HttpResponse head) {
        int code = head.status().code();
        return code >= FIRST_FINAL && code <= LAST_FINAL;
    }

    /**
     * Returns whether a response precedes the final one. Clients skip any such response, known or not (RFC 9110,
     * section 15.2), but one that states a body is not interim (section 8.6), and no request of this client asks for
     * another protocol, so a response that switches to one is not, either.
     */
    static boolean isInterim(HttpResponse head) {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && !head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
                && !HttpUtil.isContentLengthSet(head)
                && !HttpUtil.isTransferEncodingChunked(head);
    }
}
