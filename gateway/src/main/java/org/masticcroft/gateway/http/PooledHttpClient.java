package org.masticcroft.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.masticcroft.kernel.time.TimeSource;

/** HTTP client with a pool of connections for each address. Used on the event loop only. */
public final class PooledHttpClient {
    /** Time for the handshake of a connection; several round trips between the farthest regions. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Idle connections that are kept for each address; more than the requests that one upstream runs at a time. */
    private static final int MAX_IDLE_PER_ADDRESS = 24;

    /** Time after which an idle connection is closed; it counts against the limit of the other side. */
    private static final Duration IDLE_LIFETIME = Duration.ofMillis(1600);

    private static final long SWEEP_MILLIS = 400;
    private static final int MAX_INITIAL_LINE_BYTES = 4096;
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int MAX_CHUNK_BYTES = 16_384;

    private final EventLoop loop;
    private final TimeSource time;
    private final Map<Address, Deque<CallerChannel>> idle = new HashMap<>();

    private PooledHttpClient(EventLoop loop, TimeSource time) {
        this.loop = loop;
        this.time = time;
    }

    /** Creates a client that runs on the given event loop. */
    public static PooledHttpClient of(EventLoop loop, TimeSource time) {
        PooledHttpClient caller = new PooledHttpClient(Objects.requireNonNull(loop, "loop"), Objects.requireNonNull(time, "time"));
        loop.scheduleAtFixedRate(caller::closeOld, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        return caller;
    }

    /**
     * Sends a request.
     *
     * @param address where to send it
     * @param request the request; released after it was written
     * @param reuse how long an idle connection may have been idle to be used again; zero opens a new one
     * @param listener receives the answer
     * @return a handle that cancels the call by closing its connection
     */
    public Call send(Address address, FullHttpRequest request, Duration reuse, ResponseListener listener) {
        CallerChannel ready = takeIdle(address, reuse);
        if (ready != null) {
            return ready.start(request, listener);
        }
        PendingCall pending = new PendingCall(request, listener);
        connect(address, pending);
        return pending;
    }

    /** Closes the idle connections to an address, after its process was seen to end. */
    public void closeIdle(Address address) {
        Deque<CallerChannel> channels = idle.remove(address);
        if (channels != null) {
            channels.forEach(CallerChannel::close);
        }
    }

    void giveBack(CallerChannel channel) {
        Deque<CallerChannel> channels = idle.computeIfAbsent(channel.address(), key -> new ArrayDeque<>());
        if (channels.size() >= MAX_IDLE_PER_ADDRESS) {
            channels.removeFirst().close();
        }
        channels.addLast(channel);
    }

    void removeIdle(CallerChannel channel) {
        Deque<CallerChannel> channels = idle.get(channel.address());
        if (channels != null) {
            channels.remove(channel);
        }
    }

    TimeSource time() {
        return time;
    }

    private void closeOld() {
        for (Deque<CallerChannel> channels : idle.values()) {
            while (!channels.isEmpty() && !channels.peekFirst().usableAfter(IDLE_LIFETIME)) {
                channels.removeFirst().close();
            }
        }
    }

    private CallerChannel takeIdle(Address address, Duration reuse) {
        Deque<CallerChannel> channels = idle.get(address);
        if (channels == null || reuse.isZero()) {
            return null;
        }
        CallerChannel newest = channels.peekLast();
        if (newest == null || !newest.usableAfter(reuse)) {
            return null;
        }
        return channels.removeLast();
    }

    private void connect(Address address, PendingCall pending) {
        CallerChannel handler = new CallerChannel(this, address);
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpClientCodec(
                                                config,
                                                HttpClientCodec.DEFAULT_PARSE_HTTP_AFTER_CONNECT_REQUEST,
                                                HttpClientCodec.DEFAULT_FAIL_ON_MISSING_RESPONSE),
                                        handler);
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

        private void connected(CallerChannel channel) {
            if (cancelled || channel == null) {
                request.release();
                if (channel != null) {
                    channel.close();
                }
                if (!cancelled) {
                    listener.onFailure(CallFailure.NOT_CONNECTED);
                }
                return;
            }
            running = channel.start(request, listener);
        }

        @Override
        public boolean sent() {
            return running != null;
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
