package org.masticcroft.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.wire.generated.Envelope;

/** {@link PeerClient} that uses Netty. Replaces a lost connection at the next call. */
public final class NettyPeerClient implements PeerClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int IO_THREADS = 2;

    private final EventLoopGroup group;
    private final LongSupplier configVersion;
    private final Map<InetSocketAddress, ClientConnection> connections = new ConcurrentHashMap<>();

    private NettyPeerClient(LongSupplier configVersion) {
        this.configVersion = configVersion;
        this.group = new MultiThreadIoEventLoopGroup(
                IO_THREADS, new DefaultThreadFactory("peer-client", true), NioIoHandler.newFactory());
    }

    /**
     * Creates a client.
     *
     * @param configVersion supplies the configuration version that each message carries
     */
    public static NettyPeerClient of(LongSupplier configVersion) {
        return new NettyPeerClient(Objects.requireNonNull(configVersion, "configVersion"));
    }

    @Override
    public PeerCall open(InetSocketAddress address, Envelope.Builder request, PeerCallListener listener) {
        Objects.requireNonNull(listener, "listener");
        request.setConfigVersion(configVersion.getAsLong());
        return connection(address).open(request, listener);
    }

    @Override
    public CompletableFuture<Envelope> call(InetSocketAddress address, Envelope.Builder request, Duration timeout) {
        CompletableFuture<Envelope> reply = new CompletableFuture<>();
        PeerCall call = open(address, request, new FirstReply(reply));
        return reply.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .exceptionallyCompose(failure -> CompletableFuture.failedFuture(
                        failure instanceof TimeoutException ? timedOut(address, timeout) : failure))
                .whenComplete((result, failure) -> call.close());
    }

    @Override
    public void close() {
        connections.values().forEach(ClientConnection::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private ClientConnection connection(InetSocketAddress address) {
        return connections.compute(
                address, (key, existing) -> existing != null && existing.isUsable() ? existing : connect(key));
    }

    private ClientConnection connect(InetSocketAddress address) {
        ClientConnection connection = new ClientConnection(address);
        ChannelFuture connecting = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        PeerCodec.install(channel);
                        channel.pipeline().addLast(connection);
                    }
                })
                .connect(address);
        Channel channel = connecting.channel();
        connection.attach(channel);
        connecting.addListener(result -> connection.onConnectResult(result.cause()));
        return connection;
    }

    private static MasticcroftException timedOut(InetSocketAddress address, Duration timeout) {
        return MasticcroftException.of(
                ErrorCode.DEADLINE_EXCEEDED,
                Verdict.MAY_HAVE_RUN,
                "no reply from " + address + " within " + timeout.toMillis() + " ms");
    }

    private record FirstReply(CompletableFuture<Envelope> reply) implements PeerCallListener {
        @Override
        public void onReply(Envelope envelope) {
            reply.complete(envelope);
        }

        @Override
        public void onFailure(MasticcroftException failure) {
            reply.completeExceptionally(failure);
        }
    }
}
