package org.masticcroft.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.masticcroft.gateway.config.CallerLimits;
import org.masticcroft.gateway.loop.InputClock;
import org.masticcroft.kernel.time.TimeSource;

/** HTTP server that serves one request at a time on each connection. Used on the event loop only. */
public final class HttpServer {
    /** Connections that wait to be accepted. A client retries a dropped SYN only after one second. */
    private static final int BACKLOG = 1024;

    /** Time for which requests are handled until new input is read, such as the closes of their callers. */
    private static final Duration MAX_HANDLING = Duration.ofMillis(20);

    /** Interval at which room is made while bodies wait for memory. */
    private static final long RELIEF_INTERVAL_MILLIS = 100;

    /** Most bytes that are read at once, since a body that must wait for memory has been read that far. */
    static final int MAX_READ_BYTES = 16_384;

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2048;

    /** Interval at which connections that exceed the idle timeout are closed. */
    private static final long IDLE_CHECK_INTERVAL_MILLIS = 1000;

    /** Fraction of the budget of connections that is accepted at once, as a divisor. */
    private static final int ACCEPT_DIVISOR = 8;

    private static final int MAX_INITIAL_LINE_BYTES = 16_384;

    /** Bound of a request head before a configuration states one, and for connections accepted before that. */
    private static final int MAX_HEADER_BYTES = 32_768;

    private final EventLoop loop;
    private final TimeSource time;
    private final InputClock inputs;
    private final RequestHandler handler;
    private final CallerPressure pressure;
    private final Supplier<CallerLimits> limits;
    private final CallerPatience patience;
    private final boolean keepsBodies;
    private final Set<ServerConnection> connections = new HashSet<>();
    private final Deque<ServerConnection> arrivals = new ArrayDeque<>();
    private boolean handling;
    private boolean relieving;
    private Channel serverChannel;
    private boolean draining;
    private boolean listenerClosing;

    private HttpServer(
            EventLoop loop,
            TimeSource time,
            InputClock inputs,
            Supplier<CallerLimits> limits,
            CallerPressure pressure,
            CallerPatience patience,
            boolean keepsBodies,
            RequestHandler handler) {
        this.pressure = pressure;
        this.patience = patience;
        this.keepsBodies = keepsBodies;
        this.loop = loop;
        this.time = time;
        this.inputs = inputs;
        this.limits = limits;
        this.handler = handler;
    }

    /** Creates a server that calls the handler for each request and takes it to arrive when it is read. */
    public static HttpServer of(
            EventLoop loop, TimeSource time, Supplier<CallerLimits> limits, RequestHandler handler) {
        return of(loop, time, InputClock.immediate(time), limits, handler);
    }

    /**
     * Creates a server that calls the handler for each request, without budgets; callers are trusted.
     *
     * @param loop event loop
     * @param time time source
     * @param inputs bounds when a request has arrived
     * @param limits limits of the callers, which may change
     * @param handler handler of the requests
     */
    public static HttpServer of(
            EventLoop loop, TimeSource time, InputClock inputs, Supplier<CallerLimits> limits, RequestHandler handler) {
        return of(loop, time, inputs, limits, CallerPressure.unbounded(), CallerPatience.unknown(), handler);
    }

    /**
     * Creates a server that shares its budgets with others.
     *
     * @param loop event loop
     * @param time time source
     * @param inputs bounds when a request has arrived
     * @param limits limits of the callers, which may change
     * @param pressure owner of what the callers make the process hold
     * @param patience tells how long a body may take
     * @param handler handler of the requests
     */
    public static HttpServer of(
            EventLoop loop,
            TimeSource time,
            InputClock inputs,
            Supplier<CallerLimits> limits,
            CallerPressure pressure,
            CallerPatience patience,
            RequestHandler handler) {
        return new HttpServer(
                Objects.requireNonNull(loop, "loop"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(inputs, "inputs"),
                Objects.requireNonNull(limits, "limits"),
                Objects.requireNonNull(pressure, "pressure"),
                Objects.requireNonNull(patience, "patience"),
                true,
                Objects.requireNonNull(handler, "handler"));
    }

    /**
     * Creates a server for requests without a body, such as those for metrics. A body that comes all the same is read
     * and dropped, so that it takes no memory.
     *
     * @param loop event loop
     * @param time time source
     * @param pressure owner of what the callers make the process hold
     * @param handler handler of the requests, which gets empty bodies
     */
    public static HttpServer withoutBodies(
            EventLoop loop, TimeSource time, CallerPressure pressure, RequestHandler handler) {
        return new HttpServer(
                Objects.requireNonNull(loop, "loop"),
                Objects.requireNonNull(time, "time"),
                InputClock.immediate(time),
                CallerLimits::defaults,
                Objects.requireNonNull(pressure, "pressure"),
                CallerPatience.unknown(),
                false,
                Objects.requireNonNull(handler, "handler"));
    }

    /** Binds the address and waits until the server listens. */
    public void listen(Address address) {
        serverChannel = new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> new DrainingServerChannel(time, inputs))
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, acceptAll())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                })
                .bind(address.socketAddress())
                .syncUninterruptibly()
                .channel();
        loop.scheduleAtFixedRate(
                this::closeExpired, IDLE_CHECK_INTERVAL_MILLIS, IDLE_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Closes each connection after its next response from now on. */
    public void drain() {
        draining = true;
    }

    /** Stops accepting connections, except those that are established already. */
    public void stopListening() {
        if (!listenerClosing) {
            listenerClosing = true;
            DrainingServerChannel.acceptPendingAndClose(serverChannel);
        }
    }

    /**
     * Closes the connections on which no request is open or arriving, once the responses written to them are sent.
     *
     * @param idleFor shortest time since the last request or response on a connection that is closed
     */
    public void closeIdle(Duration idleFor) {
        new ArrayList<>(connections).forEach(connection -> connection.closeIfIdle(idleFor));
    }

    /** Returns whether the server has stopped listening and all its connections have ended. */
    public boolean closed() {
        return !serverChannel.isOpen() && connections.isEmpty();
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return connections.size();
    }

    /** Returns the number of response bytes that wait in this process because callers read slowly. */
    public long unsentBytes() {
        return connections.stream().mapToLong(ServerConnection::unsentBytes).sum();
    }

    boolean draining() {
        return draining;
    }

    CallerLimits limits() {
        return limits.get();
    }

    RequestHandler handler() {
        return handler;
    }

    TimeSource time() {
        return time;
    }

    CallerPressure pressure() {
        return pressure;
    }

    CallerPatience patience() {
        return patience;
    }

    boolean keepsBodies() {
        return keepsBodies;
    }

    /** Makes room from time to time as long as bodies wait for memory. */
    void relieveSoon() {
        if (!relieving) {
            relieving = true;
            loop.schedule(this::relieve, RELIEF_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void relieve() {
        relieving = false;
        pressure.requests().relieve(time.nanoTime());
        if (pressure.requests().waiting() > 0) {
            relieveSoon();
        }
    }

    void remove(ServerConnection connection) {
        connections.remove(connection);
        pressure.connections().remove(connection);
        pressure.unread().remove(connection);
    }

    /** Has the next request of a connection handled once all input of this turn of the event loop was read. */
    void arrived(ServerConnection connection) {
        arrivals.addLast(connection);
        if (!handling) {
            handling = true;
            loop.execute(this::handleArrivals);
        }
    }

    /** Handles all requests that were read, since the process is about to exit. */
    public void handleAllArrivals() {
        while (!arrivals.isEmpty()) {
            arrivals.removeFirst().handleNext();
        }
    }

    private void handleArrivals() {
        long begunNanos = time.nanoTime();
        try {
            while (!arrivals.isEmpty() && time.since(begunNanos).compareTo(MAX_HANDLING) < 0) {
                arrivals.removeFirst().handleNext();
            }
        } finally {
            handling = !arrivals.isEmpty();
            if (handling) {
                // A scheduled task runs only after the next selection.
                loop.schedule(this::handleArrivals, 0, TimeUnit.MILLISECONDS);
            }
        }
    }

    /**
     * Accepts all established connections in one turn of the event loop, so that none waits for a later one, but not so
     * many that the connections over the budget use up the descriptors before they are closed.
     */
    private RecvByteBufAllocator acceptAll() {
        int atOnce = Math.max(1, pressure.connections().limit() / ACCEPT_DIVISOR);
        return new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(Math.min(BACKLOG, atOnce));
    }

    InputClock inputs() {
        return inputs;
    }

    private void accept(Channel channel) {
        DrainingServerChannel listener = (DrainingServerChannel) channel.parent();
        ServerConnection connection = new ServerConnection(this, listener.earliestArrivalNanos());
        connections.add(connection);
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                .setMaxHeaderSize(Math.max(MAX_HEADER_BYTES, limits().maxHeaderBytes()))
                .setTrailersFactory(DroppedTrailers.factory());
        channel.pipeline()
                .addLast(
                        connection.headTimer(),
                        new HttpRequestDecoder(config),
                        new CallerResponseEncoder(connection::answersHead),
                        connection);
        pressure.connections().add(connection);
    }

    private void closeExpired() {
        CallerLimits current = limits();
        for (ServerConnection connection : new ArrayList<>(connections)) {
            connection.closeIfIdleLongerThan(current.idleTimeout());
            connection.rejectIfHeadTakesLongerThan(current.headerTimeout());
            connection.rejectIfBodyIsLate(current.idleTimeout());
        }
    }
}
