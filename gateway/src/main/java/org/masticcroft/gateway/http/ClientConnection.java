package org.masticcroft.gateway.http;

import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/** One connection of the HTTP client. It carries one request at a time. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /**
     * A connection is not reused this close to the server's idle timeout, because the server might close it while the
     * request is in transit.
     */
    private static final Duration IDLE_TIMEOUT_MARGIN = Duration.ofMillis(800);

    /** Interim and misdirected responses before the awaited one; a server in trouble may send them without end. */
    private static final int MAX_OTHER_RESPONSES = 8;

    /** Bytes of responses to earlier requests that are skipped while a response is awaited. */
    private static final int MAX_SKIPPED_BYTES = 65_536;

    /** Requests with an id on one connection; bounds the memory for the hashes of their ids. */
    private static final int MAX_REQUESTS = 100;

    private final PooledHttpClient client;
    private final Address address;
    private final ResponseDecoder decoder;
    private ChannelHandlerContext context;
    private ResponseListener listener;
    private final Set<Integer> requestIdHashes = new HashSet<>();
    private int requests;
    private boolean outOfStep;
    private boolean accepted;
    private boolean reusable;
    private boolean wasReset;
    private ResponseListener ended;
    private boolean endFollowed;
    private int otherResponses;
    private int skippedBytes;
    private long idleSinceNanos;
    private Duration idleTimeout = Duration.ofDays(1);

    /**
     * Creates the handler of a connection.
     *
     * @param client client that the connection belongs to
     * @param address address of the server
     * @param decoder decoder of the connection, which goes before this handler
     */
    ClientConnection(PooledHttpClient client, Address address, ResponseDecoder decoder) {
        this.client = client;
        this.address = address;
        this.decoder = decoder;
    }

    Address address() {
        return address;
    }

    boolean reusableWithin(Duration maxIdle) {
        Duration idleTime = idleTime();
        return context.channel().isActive() && idleTime.compareTo(maxIdle) <= 0 && idleTime.compareTo(idleTimeout) < 0;
    }

    /** Returns the time since the last response on the connection. */
    Duration idleTime() {
        return client.time().since(idleSinceNanos);
    }

    /**
     * Returns whether the connection has carried a request with the id. A late copy of its response could not be told
     * from the response to another request with the same id. May also be true for an id with the same hash, which costs
     * a new connection.
     */
    boolean hasCarried(String requestId) {
        return requestIdHashes.contains(requestId.hashCode());
    }

    /**
     * Sends a request. The call fails at once, before anything is sent, if a new connection was closed before its first
     * request, for example because the server has sent bytes on it.
     */
    Call start(FullHttpRequest request, ResponseListener newListener) {
        if (!context.channel().isActive()) {
            request.release();
            newListener.onFailure(CallFailure.NOT_CONNECTED);
            return new ConnectionCall(newListener);
        }
        listener = newListener;
        requests++;
        if (!newListener.requestId().isEmpty()) {
            requestIdHashes.add(newListener.requestId().hashCode());
        }
        accepted = false;
        reusable = false;
        otherResponses = 0;
        skippedBytes = 0;
        decoder.expectResponseTo(request.method());
        context.writeAndFlush(request).addListener(write -> noteReset(write.cause()));
        return new ConnectionCall(newListener);
    }

    void close() {
        context.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (listener == null) {
                // Unsolicited bytes: responses on this connection can no longer be matched to requests.
                reusable = false;
                endFollowed = true;
                client.removeIdle(this);
                ctx.close();
            } else if (((HttpObject) message).decoderResult().isFailure()) {
                fail(CallFailure.MALFORMED);
            } else {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Ends the response only now, since bytes that belong to no request may have come right behind it. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reportEnd();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        client.removeIdle(this);
        reportEnd();
        if (listener != null) {
            fail(wasReset ? CallFailure.RESET : CallFailure.CLOSED_EARLY);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        wasReset = true;
        if (listener != null) {
            fail(CallFailure.RESET);
        }
        ctx.close();
    }

    /**
     * Notes a reset that a failed write reveals. The channel is then closed without an exception, and the decoder would
     * take that for the end of a response without a length.
     */
    private void noteReset(Throwable writeFailure) {
        wasReset |= writeFailure != null && !(writeFailure instanceof ClosedChannelException);
    }

    private void read(HttpObject message) {
        if (message instanceof HttpResponse head) {
            if (ResponseStatus.isInterim(head)) {
                countOther();
                return;
            }
            if (!ResponseStatus.isFinal(head) || MergedHead.isMerged(head)) {
                fail(CallFailure.MALFORMED);
                return;
            }
            ResponseMatch match = listener.match(head);
            if (match == ResponseMatch.UNIDENTIFIED && (requests > 1 || outOfStep)) {
                fail(CallFailure.UNIDENTIFIED);
                return;
            }
            outOfStep |= match == ResponseMatch.OTHER;
            accepted = match != ResponseMatch.OTHER;
            if (accepted) {
                readHead(head, match);
            } else {
                countOther();
            }
        }
        if (message instanceof HttpContent content) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse head, ResponseMatch match) {
        reusable = match == ResponseMatch.OWN
                && !outOfStep
                && requestIdHashes.size() < MAX_REQUESTS
                && HttpUtil.isKeepAlive(head)
                && (HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head));
        idleTimeout = KeepAlive.timeout(head.headers().get(KeepAlive.HEADER))
                .map(limit -> limit.minus(IDLE_TIMEOUT_MARGIN))
                .orElse(idleTimeout);
        listener.onHead(head);
    }

    private void readContent(HttpContent content) {
        if (!accepted) {
            skip(content);
            return;
        }
        if (listener != null && content.content().isReadable()) {
            listener.onContent(content.content());
        }
        if (listener != null && content instanceof LastHttpContent) {
            end();
        }
    }

    private void countOther() {
        otherResponses++;
        if (otherResponses > MAX_OTHER_RESPONSES) {
            fail(CallFailure.MALFORMED);
        }
    }

    private void skip(HttpContent content) {
        skippedBytes += content.content().readableBytes();
        if (listener != null && skippedBytes > MAX_SKIPPED_BYTES) {
            fail(CallFailure.MALFORMED);
        }
    }

    private void end() {
        ResponseListener finished = listener;
        listener = null;
        context.channel().config().setAutoRead(true);
        if (wasReset) {
            finished.onFailure(CallFailure.RESET);
            return;
        }
        idleSinceNanos = client.time().nanoTime();
        ended = finished;
    }

    private void reportEnd() {
        if (ended == null) {
            return;
        }
        ResponseListener finished = ended;
        ended = null;
        endFollowed |= decoder.holdsBytes();
        if (reusable && !endFollowed && context.channel().isActive()) {
            client.returnToPool(this);
        } else {
            context.close();
        }
        if (endFollowed) {
            finished.onEndFollowedByBytes();
        } else {
            finished.onEnd();
        }
    }

    private void fail(CallFailure failure) {
        ResponseListener failed = listener;
        listener = null;
        context.close();
        failed.onFailure(failure);
    }

    /**
     * Closes the connection with a reset. After an orderly close, a server may still read and run the request, because
     * the client could be waiting for the response.
     */
    private void abort() {
        try {
            context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // The server has reset the connection already.
        }
        context.close();
    }

    /** The call that the connection carries. Cancelling it later does not affect another call on the connection. */
    private final class ConnectionCall implements Call {
        private final ResponseListener callListener;

        private ConnectionCall(ResponseListener callListener) {
            this.callListener = callListener;
        }

        @Override
        public boolean sent() {
            return true;
        }

        @Override
        public void pauseReading() {
            if (listener == callListener) {
                context.channel().config().setAutoRead(false);
            }
        }

        @Override
        public void resumeReading() {
            if (listener == callListener) {
                context.channel().config().setAutoRead(true);
            }
        }

        @Override
        public void cancel() {
            if (listener == callListener) {
                listener = null;
                abort();
            }
        }
    }
}
