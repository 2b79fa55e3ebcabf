package org.masticcroft.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Server side of the peer protocol. */
public final class PeerServer implements AutoCloseable {
    private static final int ACCEPT_THREADS = 1;
    private static final int IO_THREADS = 2;

    private final EventLoopGroup acceptGroup;
    private final EventLoopGroup ioGroup;
    private final Channel channel;

    private PeerServer(EventLoopGroup acceptGroup, EventLoopGroup ioGroup, Channel channel) {
        this.acceptGroup = acceptGroup;
        this.ioGroup = ioGroup;
        this.channel = channel;
    }

    /**
     * Binds the address and starts to accept connections.
     *
     * @param address address to listen on; port 0 selects a free port
     * @param configVersion supplies the configuration version that each reply carries
     * @param handler handles the calls
     */
    public static PeerServer of(InetSocketAddress address, LongSupplier configVersion, PeerHandler handler) {
        Objects.requireNonNull(handler, "handler");
        EventLoopGroup acceptGroup = newGroup("peer-accept", ACCEPT_THREADS);
        EventLoopGroup ioGroup = newGroup("peer-server", IO_THREADS);
        Channel channel = new ServerBootstrap()
                .group(acceptGroup, ioGroup)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        PeerCodec.install(accepted);
                        accepted.pipeline().addLast(new ServerConnection(configVersion, handler));
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return new PeerServer(acceptGroup, ioGroup, channel);
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    @Override
    public void close() {
        if (channel.isOpen()) {
            channel.close().syncUninterruptibly();
        }
        acceptGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        ioGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static EventLoopGroup newGroup(String name, int threads) {
        return new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }
}
