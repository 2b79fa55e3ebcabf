package org.masticcroft.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** Writes the response to a request, in the frame of its connection. Used on the event loop only. */
final class ConnectionWriter implements ResponseWriter {
    private final ServerConnection connection;
    private final ChannelHandlerContext context;
    private final BufferedRequest request;
    private final boolean keepAlive;
    private final boolean headRequest;
    private boolean closeAfterResponse;
    private boolean finished;
    private Runnable onDisconnect = () -> {};
    private Runnable onWritable = () -> {};

    /**
     * Creates a writer whose response has not begun.
     *
     * @param connection connection of the request, which handles no other one until the response has ended
     * @param context context of the connection's handler
     * @param request the request, whose memory is released with the end of the response
     */
    ConnectionWriter(ServerConnection connection, ChannelHandlerContext context, BufferedRequest request) {
        this.connection = connection;
        this.context = context;
        this.request = request;
        keepAlive = HttpUtil.isKeepAlive(request.arrived().head());
        headRequest = request.arrived().head().method().equals(HttpMethod.HEAD);
    }

    @Override
    public long earliestArrivalNanos() {
        return request.earliestArrivalNanos();
    }

    @Override
    public boolean connected() {
        return !finished && connection.readIfLate();
    }

    @Override
    public void writeFull(int status, HttpHeaders headers, ByteBuf content) {
        if (finished) {
            content.release();
            return;
        }
        headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        ByteBuf payload = content;
        if (headRequest) {
            content.release();
            payload = Unpooled.EMPTY_BUFFER;
        }
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), payload, headers, EmptyHttpHeaders.INSTANCE);
        setConnection(headers);
        finish(response);
    }

    @Override
    public void start(int status, HttpHeaders headers) {
        if (finished) {
            return;
        }
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        setConnection(headers);
        context.write(response);
    }

    @Override
    public void writeChunk(ByteBuf content) {
        if (finished || headRequest) {
            content.release();
            return;
        }
        context.writeAndFlush(new DefaultHttpContent(content));
        connection.responsePartWritten();
    }

    @Override
    public void end() {
        if (!finished) {
            finish(new DefaultLastHttpContent());
        }
    }

    @Override
    public void abort() {
        if (!finished) {
            finished = true;
            connection.abortResponse(request);
        }
    }

    @Override
    public boolean awaitWritable(Runnable action) {
        if (finished || context.channel().isWritable()) {
            return false;
        }
        onWritable = action;
        return true;
    }

    /** Has the response go on because the caller has read enough. */
    void writableAgain() {
        Runnable action = onWritable;
        onWritable = () -> {};
        action.run();
    }

    @Override
    public void onDisconnect(Runnable action) {
        onDisconnect = action;
    }

    /** Ends the response because the caller has left. */
    void disconnected() {
        finished = true;
        request.release();
        onDisconnect.run();
    }

    private void setConnection(HttpHeaders headers) {
        closeAfterResponse = !keepAlive
                || connection.closesAfterResponse()
                || headers.contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
        if (closeAfterResponse) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void finish(HttpObject last) {
        finished = true;
        connection.endResponse(request, last, closeAfterResponse);
    }
}
