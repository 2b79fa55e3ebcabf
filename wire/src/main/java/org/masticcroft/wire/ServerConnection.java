package org.masticcroft.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.ArrayList;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.masticcroft.wire.generated.Envelope;

/** One accepted connection and its open calls. */
final class ServerConnection extends SimpleChannelInboundHandler<Envelope> {
    private final LongSupplier configVersion;
    private final PeerHandler handler;
    private final Map<Long, Responder> openCalls = new ConcurrentHashMap<>();

    ServerConnection(LongSupplier configVersion, PeerHandler handler) {
        this.configVersion = configVersion;
        this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope message) {
        Responder existing = openCalls.get(message.getCallId());
        if (existing != null) {
            handler.onMessage(message, existing);
        } else if (!message.hasCancel()) {
            Responder responder = new Responder(message.getCallId(), context.channel());
            openCalls.put(message.getCallId(), responder);
            handler.onRequest(message, responder);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        new ArrayList<>(openCalls.values()).forEach(handler::onDisconnect);
        openCalls.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private final class Responder implements PeerResponder {
        private final long callId;
        private final Channel channel;

        private Responder(long callId, Channel channel) {
            this.callId = callId;
            this.channel = channel;
        }

        @Override
        public void send(Envelope.Builder reply) {
            reply.setCallId(callId).setConfigVersion(configVersion.getAsLong());
            channel.writeAndFlush(reply.build(), channel.voidPromise());
        }

        @Override
        public void finish(Envelope.Builder reply) {
            openCalls.remove(callId);
            send(reply);
        }

        @Override
        public boolean isWritable() {
            return channel.isWritable();
        }

        @Override
        public boolean isOpen() {
            return channel.isActive();
        }
    }
}
