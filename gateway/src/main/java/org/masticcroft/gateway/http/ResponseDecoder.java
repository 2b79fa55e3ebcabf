package org.masticcroft.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** Decodes the responses of a connection, and tells whether it holds bytes behind the last complete one. */
final class ResponseDecoder extends HttpResponseDecoder {
    private boolean headRequested;
    private boolean betweenResponses = true;

    ResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Prepares for the response to a request; one to HEAD has no body, whatever its headers state. */
    void expectResponseTo(HttpMethod method) {
        headRequested = method.equals(HttpMethod.HEAD);
    }

    /** Returns whether bytes were received behind the last complete response, also if they are no message yet. */
    boolean holdsBytes() {
        return !betweenResponses || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        int readable = in.readableBytes();
        int messages = out.size();
        super.decode(context, in, out);
        if (out.size() > messages) {
            betweenResponses = endsResponse(out);
        } else if (in.readableBytes() < readable) {
            betweenResponses = false;
        }
    }

    /** Ends a response without a length, which ends with its connection. */
    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        int messages = out.size();
        super.decodeLast(context, in, out);
        if (out.size() > messages) {
            betweenResponses = endsResponse(out);
        }
    }

    private static boolean endsResponse(List<Object> messages) {
        return messages.get(messages.size() - 1) instanceof LastHttpContent;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage response) {
        return headRequested || super.isContentAlwaysEmpty(response);
    }
}
