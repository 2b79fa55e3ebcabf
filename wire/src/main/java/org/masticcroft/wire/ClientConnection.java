package org.masticcroft.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.wire.generated.Envelope;

/**
 * One connection of a client and its open calls. All fields are guarded by the monitor of this object; listeners are
 * called without holding it.
 */
final class ClientConnection extends SimpleChannelInboundHandler<Envelope> {
    private final InetSocketAddress address;
    private final Map<Long, OpenCall> calls = new HashMap<>();
    private final Queue<Envelope> queuedMessages = new ArrayDeque<>();
    private Channel channel;
    private State state = State.CONNECTING;
    private long lastCallId;

    ClientConnection(InetSocketAddress address) {
        this.address = address;
    }

    synchronized void attach(Channel newChannel) {
        this.channel = newChannel;
    }

    synchronized boolean isUsable() {
        return state != State.CLOSED;
    }

    PeerCall open(Envelope.Builder request, PeerCallListener listener) {
        OpenCall call;
        boolean accepted;
        synchronized (this) {
            call = new OpenCall(++lastCallId, listener);
            accepted = state != State.CLOSED;
            if (accepted) {
                calls.put(call.id, call);
                call.send(request);
            }
        }
        if (!accepted) {
            listener.onFailure(unreachable(Verdict.NOT_RUN, null));
        }
        return call;
    }

    /** Sends the messages that were queued while connecting, or fails all calls as not run if the connection failed. */
    void onConnectResult(Throwable failure) {
        if (failure != null) {
            fail(Verdict.NOT_RUN, failure);
            return;
        }
        synchronized (this) {
            if (state == State.CONNECTING) {
                state = State.OPEN;
                queuedMessages.forEach(this::writeAndFlush);
                queuedMessages.clear();
            }
        }
    }

    void close() {
        Channel current;
        synchronized (this) {
            current = channel;
        }
        fail(Verdict.MAY_HAVE_RUN, null);
        if (current != null && current.isOpen()) {
            current.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope reply) {
        OpenCall call;
        synchronized (this) {
            call = calls.get(reply.getCallId());
        }
        if (call != null) {
            call.listener.onReply(reply);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(Verdict.MAY_HAVE_RUN, null);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(Verdict.MAY_HAVE_RUN, cause);
        context.close();
    }

    private void fail(Verdict verdict, Throwable cause) {
        List<OpenCall> failed;
        synchronized (this) {
            state = State.CLOSED;
            queuedMessages.clear();
            failed = new ArrayList<>(calls.values());
            calls.clear();
        }
        MasticcroftException failure = unreachable(verdict, cause);
        failed.forEach(call -> call.listener.onFailure(failure));
    }

    private void write(Envelope message) {
        if (state == State.CONNECTING) {
            queuedMessages.add(message);
        } else if (state == State.OPEN) {
            writeAndFlush(message);
        }
    }

    private void writeAndFlush(Envelope message) {
        ChannelFuture write = channel.writeAndFlush(message);
        write.addListener(result -> {
            if (!result.isSuccess()) {
                channel.close();
            }
        });
    }

    private MasticcroftException unreachable(Verdict verdict, Throwable cause) {
        String message = verdict == Verdict.NOT_RUN
                ? "cannot connect to peer " + address
                : "connection to peer " + address + " was lost";
        return MasticcroftException.of(ErrorCode.PEER_UNREACHABLE, verdict, message, cause);
    }

    private enum State {
        CONNECTING,
        OPEN,
        CLOSED
    }

    private final class OpenCall implements PeerCall {
        private final long id;
        private final PeerCallListener listener;

        private OpenCall(long id, PeerCallListener listener) {
            this.id = id;
            this.listener = listener;
        }

        @Override
        public void send(Envelope.Builder message) {
            synchronized (ClientConnection.this) {
                write(message.setCallId(id).build());
            }
        }

        @Override
        public void close() {
            synchronized (ClientConnection.this) {
                calls.remove(id);
            }
        }
    }
}
