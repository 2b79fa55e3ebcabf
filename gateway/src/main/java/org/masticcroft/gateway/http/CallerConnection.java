package org.masticcroft.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** One connection of a caller. Requests that arrive before the current answer is complete wait in order. */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Requests that may wait behind the current one; callers of this gateway do not pipeline. */
    private static final int MAX_WAITING = 8;

    private final HttpServer server;
    private final Deque<Received> waiting = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private CompositeByteBuf body;
    private Writer current;
    private long lastActiveNanos;

    CallerConnection(HttpServer server) {
        this.server = server;
    }

    boolean busy() {
        return current != null || !waiting.isEmpty();
    }

    void closeIfIdle() {
        if (!busy() && head == null) {
            context.close();
        }
    }

    void closeIfIdleFor(Duration limit) {
        if (!busy() && server.time().since(lastActiveNanos).compareTo(limit) > 0) {
            context.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        lastActiveNanos = server.time().nanoTime();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (((HttpObject) message).decoderResult().isFailure()) {
                refuseUnreadable(((HttpObject) message).decoderResult().cause());
                return;
            }
            if (message instanceof HttpRequest request) {
                startRequest(request);
            }
            if (message instanceof HttpContent content && head != null) {
                addContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.remove(this);
        waiting.clear();
        releaseBody();
        if (current != null) {
            Writer gone = current;
            current = null;
            gone.callerGone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // A reset by the caller; channelInactive follows and gives the request up.
        ctx.close();
    }

    private void startRequest(HttpRequest request) {
        lastActiveNanos = server.time().nanoTime();
        head = request;
        body = context.alloc().compositeBuffer();
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void addContent(HttpContent content) {
        if (body.readableBytes() + content.content().readableBytes()
                > server.limits().maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        body.addComponent(true, content.content().retain());
        if (content instanceof LastHttpContent) {
            Received received = new Received(head, ByteBufUtil.getBytes(body));
            head = null;
            releaseBody();
            if (waiting.size() >= MAX_WAITING) {
                context.close();
                return;
            }
            waiting.addLast(received);
            next();
        }
    }

    private void next() {
        if (current != null || waiting.isEmpty()) {
            return;
        }
        Received received = waiting.removeFirst();
        current = new Writer(received.head());
        server.handler().handle(received.head(), received.body(), current);
    }

    private void refuseUnreadable(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        refuse(tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST);
    }

    /** Answers a request that cannot be read, and ends the connection because its framing is lost. */
    private void refuse(HttpResponseStatus status) {
        head = null;
        releaseBody();
        if (current != null) {
            context.close();
            return;
        }
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close");
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    private record Received(HttpRequest head, byte[] body) {}

    /** Writes the answer to the current request. */
    private final class Writer implements ResponseWriter {
        private final boolean keepAlive;
        private final boolean bodyless;
        private boolean closing;
        private boolean done;
        private Runnable gone = () -> {};

        private Writer(HttpRequest request) {
            keepAlive = HttpUtil.isKeepAlive(request);
            bodyless = request.method().equals(HttpMethod.HEAD);
        }

        @Override
        public void writeFull(int status, HttpHeaders headers, ByteBuf content) {
            if (done) {
                content.release();
                return;
            }
            ByteBuf sent = bodyless ? Unpooled.EMPTY_BUFFER : content;
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), sent, headers, EmptyHttpHeaders.INSTANCE);
            headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
            setConnection(headers);
            finish(response);
        }

        @Override
        public void start(int status, HttpHeaders headers) {
            if (done) {
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
            if (done) {
                content.release();
                return;
            }
            context.writeAndFlush(new DefaultHttpContent(content));
        }

        @Override
        public void end() {
            if (!done) {
                finish(new DefaultLastHttpContent());
            }
        }

        @Override
        public void abort() {
            if (!done) {
                done = true;
                current = null;
                context.close();
            }
        }

        @Override
        public void onDisconnect(Runnable action) {
            gone = action;
        }

        private void callerGone() {
            done = true;
            gone.run();
        }

        private void setConnection(HttpHeaders headers) {
            closing = !keepAlive
                    || server.draining()
                    || headers.contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
            if (closing) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        private void finish(HttpObject last) {
            done = true;
            current = null;
            lastActiveNanos = server.time().nanoTime();
            if (closing) {
                context.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
            } else {
                context.writeAndFlush(last);
                next();
            }
        }
    }
}
