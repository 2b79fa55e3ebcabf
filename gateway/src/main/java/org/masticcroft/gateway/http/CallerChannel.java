package org.masticcroft.gateway.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;

/** One connection of the HTTP client. It carries one request at a time. */
final class CallerChannel extends ChannelInboundHandlerAdapter {
    /** Margin before the idle timeout that the other side states, for a request that is on its way. */
    private static final Duration IDLE_MARGIN = Duration.ofMillis(800);

    private final PooledHttpClient owner;
    private final Address address;
    private ChannelHandlerContext context;
    private ResponseListener listener;
    private boolean accepted;
    private boolean reusable;
    private boolean reset;
    private long idleSinceNanos;
    private Duration idleLimit = Duration.ofDays(1);

    CallerChannel(PooledHttpClient owner, Address address) {
        this.owner = owner;
        this.address = address;
    }

    Address address() {
        return address;
    }

    boolean usableAfter(Duration reuse) {
        Duration idleFor = owner.time().since(idleSinceNanos);
        return context.channel().isActive() && idleFor.compareTo(reuse) <= 0 && idleFor.compareTo(idleLimit) < 0;
    }

    Call start(FullHttpRequest request, ResponseListener newListener) {
        listener = newListener;
        accepted = false;
        reusable = false;
        context.writeAndFlush(request);
        return new Handle(newListener);
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
                // Bytes without a request: an additional answer. The connection cannot be trusted any more.
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

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        owner.removeIdle(this);
        if (listener != null) {
            fail(reset ? CallFailure.RESET : CallFailure.CLOSED_EARLY);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        reset = true;
        if (listener != null) {
            fail(CallFailure.RESET);
        }
        ctx.close();
    }

    private void read(HttpObject message) {
        if (message instanceof HttpResponse head) {
            if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return;
            }
            accepted = listener.accepts(head);
            if (accepted) {
                readHead(head);
            }
        }
        if (message instanceof HttpContent content) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse head) {
        reusable = HttpUtil.isKeepAlive(head)
                && (HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head));
        idleLimit = KeepAlive.timeout(head.headers().get(KeepAlive.HEADER))
                .map(limit -> limit.minus(IDLE_MARGIN))
                .orElse(idleLimit);
        listener.onHead(head);
    }

    private void readContent(HttpContent content) {
        if (!accepted) {
            return;
        }
        if (listener != null && content.content().isReadable()) {
            listener.onContent(content.content());
        }
        if (listener != null && content instanceof LastHttpContent) {
            end();
        }
    }

    private void end() {
        ResponseListener done = listener;
        listener = null;
        if (reset) {
            done.onFailure(CallFailure.RESET);
            return;
        }
        if (reusable && context.channel().isActive()) {
            idleSinceNanos = owner.time().nanoTime();
            owner.giveBack(this);
        } else {
            context.close();
        }
        done.onEnd();
    }

    private void fail(CallFailure failure) {
        ResponseListener failed = listener;
        listener = null;
        context.close();
        failed.onFailure(failure);
    }

    /** Cancels only the call it was made for, because the connection may carry another one later. */
    private final class Handle implements Call {
        private final ResponseListener own;

        private Handle(ResponseListener own) {
            this.own = own;
        }

        @Override
        public boolean sent() {
            return true;
        }

        @Override
        public void cancel() {
            if (listener == own) {
                listener = null;
                context.close();
            }
        }
    }
}
