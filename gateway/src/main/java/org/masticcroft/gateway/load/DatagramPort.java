package org.masticcroft.gateway.load;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.util.Objects;
import java.util.function.BiConsumer;
import org.masticcroft.gateway.generated.Datagram;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.event.Event;

/** UDP endpoint for datagrams between the processes of the fleet. Used on the event loop only. */
public final class DatagramPort {
    /** Datagrams that one turn of the event loop reads, so that none waits for a later turn. */
    private static final int MAX_DATAGRAMS_PER_TURN = 1024;

    /** Size of the buffer for a datagram in bytes. */
    private static final int BUFFER_BYTES = 2048;

    private final EventLoop loop;
    private final DecisionLog log;
    private final DatagramTraffic traffic;
    private Channel channel;

    private DatagramPort(EventLoop loop, DecisionLog log) {
        this.loop = loop;
        this.log = log;
        this.traffic = DatagramTraffic.of(log);
    }

    /** Creates an endpoint that is not bound yet. */
    public static DatagramPort of(EventLoop loop, DecisionLog log) {
        return new DatagramPort(Objects.requireNonNull(loop, "loop"), Objects.requireNonNull(log, "log"));
    }

    /** Binds the address and passes each datagram with the address of its sender to the handler. */
    public void listen(Address address, BiConsumer<Address, Datagram> handler) {
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(BUFFER_BYTES).maxMessagesPerRead(MAX_DATAGRAMS_PER_TURN))
                .handler(new Handler(handler))
                .bind(address.socketAddress())
                .syncUninterruptibly()
                .channel();
    }

    /** Sends a datagram; it may be lost. */
    public void send(Address to, Datagram datagram) {
        byte[] bytes = datagram.toByteArray();
        traffic.record(datagram.getContentCase(), bytes.length);
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to.socketAddress()));
    }

    /** Returns the counter of the datagrams that were sent. */
    public DatagramTraffic traffic() {
        return traffic;
    }

    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        private final BiConsumer<Address, Datagram> handler;

        private Handler(BiConsumer<Address, Datagram> handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            Address sender = new Address(
                    packet.sender().getAddress().getHostAddress(),
                    packet.sender().getPort());
            try {
                handler.accept(sender, Datagram.parseFrom(ByteBufUtil.getBytes(packet.content())));
            } catch (InvalidProtocolBufferException e) {
                log.write(Event.DATAGRAM_UNREADABLE, e, "sender", sender);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.write(Event.INTERNAL_ERROR, cause, "component", "datagrams");
        }
    }
}
