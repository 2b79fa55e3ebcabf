package org.masticcroft.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
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
final class ServerConnection extends ChannelInboundHandlerAdapter
        implements UnreadResponses.Connection, ConnectionBudget.Connection, RequestMemory.Owner {
    /** Requests that may wait behind the current one; a small bound, since callers of this gateway do not pipeline. */
    private static final int MAX_PIPELINED = 8;

    /** Most bytes of a head that is not complete that are accounted for; the decoder keeps no more. */
    private static final int MAX_HEAD_BYTES = 49_152;

    /** Separators of a header line. */
    private static final int HEADER_OVERHEAD_BYTES = 4;

    /** Time for which the rest of a refused request is read, so that its caller gets the response. */
    private static final long DISCARD_MILLIS = 1000;

    /** Time after which a caller may repeat a request that did not fit into the memory, in seconds. */
    private static final int RETRY_AFTER_SECONDS = 1;

    /** Time since a connection was known to be open from which it is read before its request is sent on. */
    private static final Duration LATE = Duration.ofMillis(50);

    private final HttpServer server;
    private final long establishedNanos;
    private final long acceptedNanos;
    private final Deque<BufferedRequest> pipelined = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private ArrivingRequest arriving;
    private final HeadTimer headTimer = new HeadTimer();
    private ConnectionWriter current;
    private boolean answersHead;
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

    /** Returns whether the newest response is one to a HEAD request. */
    boolean answersHead() {
        return answersHead;
    }

    boolean busy() {
        return current != null || !pipelined.isEmpty();
    }

    @Override
    public boolean inUse() {
        return busy() && context.channel().isWritable();
    }

    @Override
    public long lastActiveNanos() {
        return lastActiveNanos;
    }

    @Override
    public void closeUnused() {
        context.close();
    }

    @Override
    public void closeUnread() {
        context.close();
    }

    /** Returns the number of bytes that were written to the connection and not passed to the kernel yet. */
    @Override
    public long unsentBytes() {
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
                && !bodyBegun()
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
        boolean unread = current == null && !context.channel().isWritable();
        return (!busy() && !bodyBegun() || unread)
                && server.time().since(lastActiveNanos).compareTo(limit) > 0;
    }

    private boolean bodyBegun() {
        return arriving != null && arriving.head() != null;
    }

    /** Returns whether the body of the arriving request waits for memory, so that the connection is not read. */
    private boolean bodyWaits() {
        return arriving != null && arriving.waiting();
    }

    /**
     * Refuses a request whose body is not complete when it is too late for it, so that it does not hold its memory.
     *
     * @param longestPause longest time without a part of the body
     */
    void rejectIfBodyIsLate(Duration longestPause) {
        if (bodyLate(longestPause)) {
            readReceivedBytes();
            if (bodyLate(longestPause)) {
                server.pressure().recordStalledBody();
                reject(HttpResponseStatus.REQUEST_TIMEOUT);
            }
        }
    }

    /** A body that waits for memory, or behind a request that waits, is not read, so its caller is not late. */
    private boolean bodyLate(Duration longestPause) {
        return bodyBegun()
                && !bodyWaits()
                && pipelined.isEmpty()
                && (server.time().since(lastActiveNanos).compareTo(longestPause) > 0
                        || server.time().nanoTime() - bodyEndNanos() > 0);
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
            if (message instanceof HttpContent content && bodyBegun()) {
                addContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.remove(this);
        clearPipelined();
        releaseArriving();
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
        if (HttpUtil.getContentLength(request, 0L) > server.limits().maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (arriving().headEnded(request)) {
            arriving.startPace(lastActiveNanos);
            claimBody();
        }
    }

    /** Claims memory for the body. The connection is not read until there is enough. */
    private void claimBody() {
        boolean begun = arriving.length() > 0;
        if (arriving.claimBody(server.time().nanoTime(), this::bodyEndNanos)) {
            if (!begun) {
                askForBody();
            }
        } else if (bodyWaits()) {
            updateReading();
            server.relieveSoon();
        }
    }

    /**
     * Returns the monotonic time in nanoseconds up to which the body of the arriving request may wait for memory, or
     * for its next part: until its caller no longer waits or, if that is unknown, for the body timeout.
     */
    private long bodyEndNanos() {
        return server.patience()
                .timeLimit(arriving.head())
                .map(limit -> headTimer.earliestArrivalNanos() + limit.toNanos())
                .orElseGet(() -> lastActiveNanos
                        + server.pressure().budgets().bodyTimeout().toNanos());
    }

    private void askForBody() {
        if (HttpUtil.is100ContinueExpected(arriving.head())) {
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

    @Override
    public void admitted() {
        lastActiveNanos = server.time().nanoTime();
        if (arriving.length() == 0) {
            askForBody();
        }
        updateReading();
    }

    @Override
    public boolean reading() {
        return context.channel().config().isAutoRead();
    }

    @Override
    public void readReceived() {
        readReceivedBytes();
    }

    private void addContent(HttpContent content) {
        lastActiveNanos = server.time().nanoTime();
        arriving.arrived(
                content.content().readableBytes(),
                lastActiveNanos,
                server.pressure().budgets().bodyTimeout());
        if (arriving.length() + content.content().readableBytes()
                > server.limits().maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (!arriving.add(content.content())) {
            return;
        }
        if (!(content instanceof LastHttpContent)) {
            claimBody();
        } else {
            BufferedRequest request =
                    new BufferedRequest(arriving, arriving.complete(), headTimer.earliestArrivalNanos());
            arriving = null;
            headTimer.requestEnded();
            int behindCurrent = current == null ? pipelined.size() - 1 : pipelined.size();
            if (behindCurrent >= MAX_PIPELINED) {
                stopReceiving();
                request.release();
                updateReading();
                return;
            }
            pipelined.addLast(request);
            updateReading();
            server.arrived(this);
        }
    }

    /** Returns the request that is arriving. */
    private ArrivingRequest arriving() {
        if (arriving == null) {
            arriving = new ArrivingRequest(
                    server.pressure().requests().newReservation(this),
                    server.limits().maxBodyBytes(),
                    server.keepsBodies());
        }
        return arriving;
    }

    /** Refuses the arriving request, or closes the connection if the decoder holds a part of its head. */
    @Override
    public void givenUp() {
        if (headTimer.headBegun()) {
            stopReceiving();
            context.close();
        } else {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    /**
     * Handles nothing more that the caller sends. What the decoder holds of an incomplete request is released at once:
     * it is no longer accounted for, and a closed channel stays in memory until the event loop has read all others.
     */
    private void stopReceiving() {
        closing = true;
        ChannelHandlerContext decoder = context.pipeline().context(HttpRequestDecoder.class);
        if (decoder != null) {
            context.pipeline().remove(decoder.handler());
        }
    }

    private void releaseArriving() {
        if (arriving != null) {
            arriving.release();
            arriving = null;
        }
    }

    private void clearPipelined() {
        pipelined.forEach(BufferedRequest::release);
        pipelined.clear();
    }

    /**
     * Stops reading the connection while a request waits on it behind another one or behind unread responses, or a body
     * for memory.
     */
    private void updateReading() {
        boolean waiting =
                !pipelined.isEmpty() && (current != null || !context.channel().isWritable());
        boolean read = closing || !(waiting || bodyWaits());
        if (read && !reading() && arriving != null) {
            arriving.startPace(server.time().nanoTime());
        }
        context.channel().config().setAutoRead(read);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        server.pressure().unread().written(this);
        if (ctx.channel().isWritable()) {
            if (current != null) {
                current.writableAgain();
            }
            handleNext();
        }
        updateReading();
    }

    /** Handles the next request unless one is open, earlier responses are unread or the caller has left. */
    void handleNext() {
        if (current != null || pipelined.isEmpty() || !context.channel().isWritable() || !readIfLate()) {
            return;
        }
        BufferedRequest request = pipelined.removeFirst();
        current = new ConnectionWriter(this, context, request);
        answersHead = request.arrived().head().method().equals(HttpMethod.HEAD);
        updateReading();
        try {
            server.handler().handle(request.arrived().head(), request.body(), current);
        } catch (RuntimeException e) {
            exceptionCaught(context, e);
        }
    }

    /** Returns whether the connection closes after a response that begins now. */
    boolean closesAfterResponse() {
        return lastOnConnection() || server.draining();
    }

    private boolean lastOnConnection() {
        return closing && pipelined.isEmpty();
    }

    /** Accounts for a part of a response that was written. */
    void responsePartWritten() {
        server.pressure().unread().written(this);
    }

    /** Writes the last part of a response, and goes on with the next request unless the connection closes after it. */
    void endResponse(BufferedRequest request, HttpObject last, boolean closeAfter) {
        current = null;
        request.release();
        lastActiveNanos = server.time().nanoTime();
        if (closeAfter || lastOnConnection()) {
            stopReceiving();
            clearPipelined();
            context.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
        } else {
            context.writeAndFlush(last)
                    .addListener(sent -> lastActiveNanos = server.time().nanoTime());
            handleNext();
        }
        responsePartWritten();
        updateReading();
    }

    /** Closes the connection because a response cannot be completed. */
    void abortResponse(BufferedRequest request) {
        current = null;
        stopReceiving();
        request.release();
        context.close();
    }

    /** Reads the connection unless it was open a moment ago, and returns whether it still is. */
    boolean readIfLate() {
        long now = server.time().nanoTime();
        if (!bodyWaits() && now - knownOpenNanos(now) > LATE.toNanos()) {
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
        stopReceiving();
        releaseArriving();
        updateReading();
        if (busy()) {
            return;
        }
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close");
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
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

    /** Notes the arrival of the first bytes of a request head, which the decoder keeps until the head is complete. */
    private final class HeadTimer extends ChannelInboundHandlerAdapter {
        private boolean betweenRequests = true;
        private boolean headBegun;
        private long headBegunNanos;
        private int headBytes;

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
            if (closing) {
                // Nothing is handled any more, so the decoder must not keep it.
                ReferenceCountUtil.release(message);
                return;
            }
            if (betweenRequests && !headBegun) {
                headBegun = true;
                headBegunNanos = ServerConnection.this.earliestArrivalNanos();
                headBytes = 0;
            }
            int bytes = ((ByteBuf) message).readableBytes();
            ctx.fireChannelRead(message);
            if (headBegun && !closing) {
                headBytes = Math.min(headBytes + bytes, MAX_HEAD_BYTES);
                arriving().headPart(headBytes);
            }
        }
    }
}
