package org.masticcroft.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
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
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One connection of the HTTP server. Pipelined requests are handled one after the other. */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    /** Requests that may wait behind the current one; a small bound, since callers of this gateway do not pipeline. */
    private static final int MAX_PIPELINED = 8;

    /** Separators of a header line. */
    private static final int HEADER_OVERHEAD_BYTES = 4;

    /** Time for which the rest of a refused request is read, so that its caller gets the response. */
    private static final long DISCARD_MILLIS = 1000;

    /** Time since a connection was known to be open from which it is read before its request is sent on. */
    private static final Duration LATE = Duration.ofMillis(50);

    private final HttpServer server;
    private final long establishedNanos;
    private final long acceptedNanos;
    private final Deque<BufferedRequest> pipelined = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private CompositeByteBuf body;
    private final HeadTimer headTimer = new HeadTimer();
    private ConnectionWriter current;
    private long lastActiveNanos;
    private long lastReadNanos;
    private long checkedNanos;
    private boolean closing;

    /**
     * Creates the handler of a connection that was accepted now.
     *
     * @param server the server
     * @param establishedNanos monotonic time before which the connection was not established
     */
    ServerConnection(HttpServer server, long establishedNanos) {
        this.server = server;
        this.establishedNanos = establishedNanos;
        this.acceptedNanos = server.time().nanoTime();
    }

    /** Returns the handler that goes before the decoder and notes when a request head begins. */
    ChannelInboundHandler headTimer() {
        return headTimer;
    }

    boolean busy() {
        return current != null || !pipelined.isEmpty();
    }

    /** Returns the number of bytes that were written to the connection and not passed to the kernel yet. */
    long unsentBytes() {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    /** Closes the connection unless a request is open or arriving, or a response is still being sent. */
    void closeIfIdle(Duration idleFor) {
        if (idle(idleFor)) {
            readReceivedBytes();
            if (idle(idleFor)) {
                context.close();
            }
        }
    }

    private boolean idle(Duration idleFor) {
        return !busy()
                && head == null
                && !headTimer.headBegun()
                && unsentBytes() == 0
                && server.time().since(lastActiveNanos).compareTo(idleFor) >= 0;
    }

    /** Reads what the kernel holds, since closing a connection with unread bytes resets it. */
    private void readReceivedBytes() {
        if (context.channel().isActive()) {
            ((AbstractNioChannel.NioUnsafe) context.channel().unsafe()).read();
        }
    }

    void closeIfIdleLongerThan(Duration limit) {
        if (inactiveLongerThan(limit)) {
            readReceivedBytes();
            if (inactiveLongerThan(limit)) {
                context.close();
            }
        }
    }

    private boolean inactiveLongerThan(Duration limit) {
        return !busy() && server.time().since(lastActiveNanos).compareTo(limit) > 0;
    }

    /** Refuses a request whose head arrives too slowly, so that it does not hold the connection. */
    void rejectIfHeadTakesLongerThan(Duration limit) {
        if (headTimer.headBegun() && !busy() && headTimer.age().compareTo(limit) > 0) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT);
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        lastActiveNanos = server.time().nanoTime();
        lastReadNanos = lastActiveNanos;
        checkedNanos = establishedNanos;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (closing) {
                // No response could be sent before the connection closes.
                return;
            }
            if (((HttpObject) message).decoderResult().isFailure()) {
                rejectMalformed(((HttpObject) message).decoderResult().cause());
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
        pipelined.clear();
        releaseBody();
        if (current != null) {
            ConnectionWriter writer = current;
            current = null;
            writer.disconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // The client reset the connection, or its request failed; channelInactive follows and cancels the request.
        ctx.close();
    }

    private void startRequest(HttpRequest request) {
        lastActiveNanos = server.time().nanoTime();
        headTimer.headEnded();
        if (headBytes(request) > server.limits().maxHeaderBytes()) {
            reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE);
            return;
        }
        head = request;
        body = context.alloc().compositeBuffer();
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private static int headBytes(HttpRequest request) {
        int bytes = request.method().name().length() + request.uri().length();
        for (Map.Entry<String, String> header : request.headers()) {
            bytes += header.getKey().length() + header.getValue().length() + HEADER_OVERHEAD_BYTES;
        }
        return bytes;
    }

    private void addContent(HttpContent content) {
        lastActiveNanos = server.time().nanoTime();
        if (body.readableBytes() + content.content().readableBytes()
                > server.limits().maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        body.addComponent(true, content.content().retain());
        if (content instanceof LastHttpContent) {
            BufferedRequest request =
                    new BufferedRequest(head, ByteBufUtil.getBytes(body), headTimer.earliestArrivalNanos());
            head = null;
            headTimer.requestEnded();
            releaseBody();
            int behindCurrent = current == null ? pipelined.size() - 1 : pipelined.size();
            if (behindCurrent >= MAX_PIPELINED) {
                closing = true;
                return;
            }
            pipelined.addLast(request);
            server.arrived(this);
        }
    }

    /** Handles the next request unless one is open or the caller has left. */
    void handleNext() {
        if (current != null || pipelined.isEmpty() || !readIfLate()) {
            return;
        }
        BufferedRequest request = pipelined.removeFirst();
        current = new ConnectionWriter(request);
        try {
            server.handler().handle(request.head(), request.body(), current);
        } catch (RuntimeException e) {
            exceptionCaught(context, e);
        }
    }

    /** Reads the connection unless it was open a moment ago, and returns whether it still is. */
    private boolean readIfLate() {
        long now = server.time().nanoTime();
        if (now - knownOpenNanos(now) > LATE.toNanos()) {
            readReceivedBytes();
            checkedNanos = server.time().nanoTime();
        }
        return context.channel().isActive();
    }

    /** Returns the latest monotonic time in nanoseconds before which the caller has not closed the connection. */
    private long knownOpenNanos(long now) {
        long selectedNanos = now - server.inputs().sinceSelection().toNanos();
        // A close may have arrived behind the bytes that were read in this turn of the event loop.
        boolean readInThisTurn = lastReadNanos - selectedNanos >= 0;
        return Math.max(checkedNanos, readInThisTurn ? earliestArrivalNanos() : selectedNanos);
    }

    /** Returns the monotonic time in nanoseconds before which nothing that is read now has arrived. */
    private long earliestArrivalNanos() {
        long earliest = server.inputs().earliestArrivalNanos();
        // What is read first after the accept may have arrived as soon as the connection was established.
        return earliest <= acceptedNanos ? Math.min(earliest, establishedNanos) : earliest;
    }

    private void rejectMalformed(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        reject(tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST);
    }

    /**
     * Responds to an invalid request and closes the connection, because the next request cannot be delimited. If an
     * earlier request is open, the connection closes after the responses to those before it.
     */
    private void reject(HttpResponseStatus status) {
        closing = true;
        head = null;
        releaseBody();
        if (busy()) {
            return;
        }
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close");
        context.writeAndFlush(response).addListener(sent -> closeOnceCallerHasSent());
    }

    /**
     * Ends the response and discards what the caller still sends until it closes the connection, since closing one with
     * unread bytes resets it and may discard the response.
     */
    private void closeOnceCallerHasSent() {
        ((DuplexChannel) context.channel()).shutdownOutput();
        context.executor().schedule(() -> context.close(), DISCARD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    private record BufferedRequest(HttpRequest head, byte[] body, long earliestArrivalNanos) {}

    /** Notes the arrival of the first bytes of a request head, which the decoder keeps until the head is complete. */
    private final class HeadTimer extends ChannelInboundHandlerAdapter {
        private boolean betweenRequests = true;
        private boolean headBegun;
        private long headBegunNanos;

        /** Returns the monotonic time in nanoseconds before which the last request has not arrived. */
        long earliestArrivalNanos() {
            return headBegunNanos;
        }

        boolean headBegun() {
            return headBegun;
        }

        Duration age() {
            return server.time().since(headBegunNanos);
        }

        void headEnded() {
            headBegun = false;
            betweenRequests = false;
        }

        void requestEnded() {
            betweenRequests = true;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            lastReadNanos = server.time().nanoTime();
            if (betweenRequests && !headBegun) {
                headBegun = true;
                headBegunNanos = ServerConnection.this.earliestArrivalNanos();
            }
            ctx.fireChannelRead(message);
        }
    }

    /** Writes the response to the current request. */
    private final class ConnectionWriter implements ResponseWriter {
        private final long earliestArrivalNanos;
        private final boolean keepAlive;
        private final boolean headRequest;
        private boolean closeAfterResponse;
        private boolean finished;
        private Runnable onDisconnect = () -> {};

        private ConnectionWriter(BufferedRequest request) {
            earliestArrivalNanos = request.earliestArrivalNanos();
            keepAlive = HttpUtil.isKeepAlive(request.head());
            headRequest = request.head().method().equals(HttpMethod.HEAD);
        }

        @Override
        public long earliestArrivalNanos() {
            return earliestArrivalNanos;
        }

        @Override
        public boolean connected() {
            return !finished && readIfLate();
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
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    payload,
                    headers,
                    EmptyHttpHeaders.INSTANCE);
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
                current = null;
                closing = true;
                context.close();
            }
        }

        @Override
        public void onDisconnect(Runnable action) {
            onDisconnect = action;
        }

        private void disconnected() {
            finished = true;
            onDisconnect.run();
        }

        private void setConnection(HttpHeaders headers) {
            closeAfterResponse = !keepAlive
                    || lastOnConnection()
                    || server.draining()
                    || headers.contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
            if (closeAfterResponse) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        private boolean lastOnConnection() {
            return closing && pipelined.isEmpty();
        }

        private void finish(HttpObject last) {
            finished = true;
            current = null;
            lastActiveNanos = server.time().nanoTime();
            if (closeAfterResponse || lastOnConnection()) {
                closing = true;
                pipelined.clear();
                context.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
            } else {
                context.writeAndFlush(last)
                        .addListener(sent -> lastActiveNanos = server.time().nanoTime());
                handleNext();
            }
        }
    }
}
