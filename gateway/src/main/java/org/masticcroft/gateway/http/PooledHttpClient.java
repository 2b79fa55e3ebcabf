package org.masticcroft.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.masticcroft.kernel.time.TimeSource;

/** HTTP client with a pool of connections for each address. Used on the event loop only. */
public final class PooledHttpClient {
    /** Timeout of the TCP handshake; allows several round trips between the most distant regions. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Idle connections kept for each address; exceeds the number of requests that one upstream runs concurrently. */
    private static final int MAX_IDLE_PER_ADDRESS = 24;

    /** Idle connections are closed after this time, because they count against the server's connection limit. */
    private static final Duration IDLE_LIFETIME = Duration.ofMillis(1600);

    private static final long IDLE_CHECK_INTERVAL_MILLIS = 400;
    private static final int MAX_INITIAL_LINE_BYTES = 4096;
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int MAX_CHUNK_BYTES = 16_384;

    private final EventLoop loop;
    private final TimeSource time;
    private final int maxConnections;
    private final Map<Address, Deque<ClientConnection>> idle = new HashMap<>();
    private int open;

    private PooledHttpClient(EventLoop loop, TimeSource time, int maxConnections) {
        this.loop = loop;
        this.time = time;
        this.maxConnections = maxConnections;
    }

    /** Creates a client that runs on the given event loop and opens as many connections as it needs. */
    public static PooledHttpClient of(EventLoop loop, TimeSource time) {
        return of(loop, time, Integer.MAX_VALUE);
    }

    /**
     * Creates a client that runs on the given event loop.
     *
     * @param loop event loop
     * @param time time source
     * @param maxConnections connections from which idle ones are closed for new ones; see {@link #hasRoom()}
     */
    public static PooledHttpClient of(EventLoop loop, TimeSource time, int maxConnections) {
        PooledHttpClient client = new PooledHttpClient(
                Objects.requireNonNull(loop, "loop"), Objects.requireNonNull(time, "time"), maxConnections);
        loop.scheduleAtFixedRate(
                client::closeExpired, IDLE_CHECK_INTERVAL_MILLIS, IDLE_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        return client;
    }

    /**
     * Sends a request.
     *
     * @param address address of the server
     * @param request the request; released after it was written
     * @param maxIdle longest time that a pooled connection may have been idle to be reused; zero opens a new one
     * @param listener receives the response
     * @return the call, which can be cancelled
     */
    public Call send(Address address, FullHttpRequest request, Duration maxIdle, ResponseListener listener) {
        ClientConnection pooled = takeIdle(address, maxIdle, listener.requestId());
        if (pooled != null) {
            return pooled.start(request, listener);
        }
        PendingCall pending = new PendingCall(request, listener);
        connect(address, pending);
        return pending;
    }

    /**
     * Returns whether a further call stays within the limit of the connections. A call beyond it is sent all the same,
     * so that a process that is short of descriptors still reaches the store.
     */
    public boolean hasRoom() {
        return open < maxConnections || longestIdle() != null;
    }

    private ClientConnection longestIdle() {
        return idle.values().stream()
                .map(Deque::peekFirst)
                .filter(Objects::nonNull)
                .min(Comparator.comparing(ClientConnection::idleTime).reversed())
                .orElse(null);
    }

    private void closeLongestIdle() {
        ClientConnection longestIdle = longestIdle();
        if (longestIdle != null) {
            removeIdle(longestIdle);
            longestIdle.close();
        }
    }

    /** Closes the idle connections to an address; for use when the process at the address has ended. */
    public void closeIdle(Address address) {
        Deque<ClientConnection> connections = idle.remove(address);
        if (connections != null) {
            connections.forEach(ClientConnection::close);
        }
    }

    void returnToPool(ClientConnection connection) {
        Deque<ClientConnection> connections = idle.computeIfAbsent(connection.address(), key -> new ArrayDeque<>());
        if (connections.size() >= MAX_IDLE_PER_ADDRESS) {
            connections.removeFirst().close();
        }
        connections.addLast(connection);
    }

    void removeIdle(ClientConnection connection) {
        Deque<ClientConnection> connections = idle.get(connection.address());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    TimeSource time() {
        return time;
    }

    private void closeExpired() {
        for (Deque<ClientConnection> connections : idle.values()) {
            while (!connections.isEmpty() && !connections.peekFirst().reusableWithin(IDLE_LIFETIME)) {
                connections.removeFirst().close();
            }
        }
    }

    /** Takes the newest connection that has not carried a request with the same id; null if there is none. */
    private ClientConnection takeIdle(Address address, Duration maxIdle, String requestId) {
        Deque<ClientConnection> connections = idle.get(address);
        if (connections == null || maxIdle.isZero()) {
            return null;
        }
        for (Iterator<ClientConnection> newestFirst = connections.descendingIterator(); newestFirst.hasNext(); ) {
            ClientConnection connection = newestFirst.next();
            if (!connection.reusableWithin(maxIdle)) {
                return null;
            }
            if (!connection.hasCarried(requestId)) {
                newestFirst.remove();
                return connection;
            }
        }
        return null;
    }

    private void connect(Address address, PendingCall pending) {
        if (open >= maxConnections) {
            closeLongestIdle();
        }
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES);
        ResponseDecoder decoder = new ResponseDecoder(config);
        ClientConnection handler = new ClientConnection(this, address, decoder);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        open++;
                        channel.closeFuture().addListener(closed -> open--);
                        channel.pipeline().addLast(decoder, new HttpRequestEncoder(), handler);
                    }
                });
        bootstrap
                .connect(address.socketAddress())
                .addListener(future -> loop.execute(() -> pending.connected(future.isSuccess() ? handler : null)));
    }

    /** A call whose connection is being established. */
    private static final class PendingCall implements Call {
        private final FullHttpRequest request;
        private final ResponseListener listener;
        private Call running;
        private boolean cancelled;

        private PendingCall(FullHttpRequest request, ResponseListener listener) {
            this.request = request;
            this.listener = listener;
        }

        private void connected(ClientConnection connection) {
            if (!cancelled && connection != null) {
                listener.onConnected();
            }
            if (cancelled || connection == null) {
                request.release();
                if (connection != null) {
                    connection.close();
                }
                if (!cancelled) {
                    listener.onFailure(CallFailure.NOT_CONNECTED);
                }
                return;
            }
            running = connection.start(request, listener);
        }

        @Override
        public boolean sent() {
            return running != null;
        }

        @Override
        public void pauseReading() {
            if (running != null) {
                running.pauseReading();
            }
        }

        @Override
        public void resumeReading() {
            if (running != null) {
                running.resumeReading();
            }
        }

        @Override
        public void cancel() {
            cancelled = true;
            if (running != null) {
                running.cancel();
            }
        }
    }
}
