package org.masticcroft.standins.link;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.masticcroft.standins.fault.Faults;
import org.masticcroft.standins.http.Json;
import org.masticcroft.standins.time.Pacer;

/**
 * Forwards TCP connections to a target with a delay and a shared rate in each direction. While it is cut, bytes are
 * held back and new connections do not reach the target, as with lost packets; TCP delivers them when the cut ends.
 */
public final class LinkStandIn {
    /**
     * Fault switches with their values when off:
     *
     * <ul>
     *   <li>{@code cut}: no bytes pass in either direction
     *   <li>{@code reset}: all connections are closed and new ones are refused
     *   <li>{@code delay_ms}, {@code bytes_per_second}: one-way delay and rate; -1 keeps the configured one
     * </ul>
     */
    public static final Map<String, Object> FAULTS =
            Map.of("cut", false, "reset", false, "delay_ms", -1L, "bytes_per_second", -1L);

    private static final int CONNECT_TIMEOUT_MILLIS = 5_000;
    private static final long FAULT_CHECK_MILLIS = 20;

    private final InetSocketAddress target;
    private final Faults faults;
    private final long delayMillis;
    private final Pacer forwardPacer;
    private final Pacer backwardPacer;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicLong connections = new AtomicLong();
    private final AtomicLong forwardBytes = new AtomicLong();
    private final AtomicLong backwardBytes = new AtomicLong();

    private LinkStandIn(InetSocketAddress target, long delayMillis, long bytesPerSecond, Faults faults) {
        this.target = target;
        this.faults = faults;
        this.delayMillis = delayMillis;
        this.forwardPacer = Pacer.of(() -> faultOrConfigured("bytes_per_second", bytesPerSecond), System::nanoTime);
        this.backwardPacer = Pacer.of(() -> faultOrConfigured("bytes_per_second", bytesPerSecond), System::nanoTime);
    }

    /** Creates a link. A rate of 0 means no limit. */
    public static LinkStandIn of(InetSocketAddress target, long delayMillis, long bytesPerSecond, Faults faults) {
        return new LinkStandIn(target, delayMillis, bytesPerSecond, faults);
    }

    /** Listens on a port of 127.0.0.1 (0 for any free one), forwards in the background and returns the port. */
    public int listen(int port) {
        try {
            ServerSocket server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), port));
            startDaemon("accept", () -> accept(server));
            startDaemon("reset", this::resetConnections);
            return server.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on port " + port, e);
        }
    }

    /** Returns the counts of connections and bytes. */
    public ObjectNode stats() {
        return Json.object()
                .put("connections", connections.get())
                .put("open", sockets.size() / 2)
                .put("forward_bytes", forwardBytes.get())
                .put("backward_bytes", backwardBytes.get());
    }

    private void accept(ServerSocket server) {
        while (true) {
            try {
                Socket client = server.accept();
                startDaemon("connect", () -> connect(client));
            } catch (IOException e) {
                System.err.println("accept failed: " + e);
                return;
            }
        }
    }

    private void connect(Socket client) {
        Socket upstream = new Socket();
        try {
            if (faults.isOn("reset")) {
                close(client, upstream);
                return;
            }
            sockets.add(client);
            sockets.add(upstream);
            connections.incrementAndGet();
            waitWhileCut();
            upstream.connect(target, CONNECT_TIMEOUT_MILLIS);
            client.setTcpNoDelay(true);
            upstream.setTcpNoDelay(true);
            AtomicInteger openDirections = new AtomicInteger(2);
            startDirection(client, upstream, forwardPacer, forwardBytes, openDirections);
            startDirection(upstream, client, backwardPacer, backwardBytes, openDirections);
        } catch (IOException e) {
            close(client, upstream);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            close(client, upstream);
        }
    }

    private void startDirection(Socket from, Socket to, Pacer pacer, AtomicLong bytes, AtomicInteger openDirections) {
        Direction direction = Direction.of(
                from,
                to,
                pacer,
                bytes,
                () -> TimeUnit.MILLISECONDS.toNanos(faultOrConfigured("delay_ms", delayMillis)),
                this::waitWhileCut);
        startDaemon("read", () -> {
            if (!direction.read()) {
                close(from, to);
            }
        });
        startDaemon("write", () -> {
            if (!direction.write() || openDirections.decrementAndGet() == 0) {
                close(from, to);
            }
        });
    }

    private void waitWhileCut() throws InterruptedException {
        while (faults.isOn("cut")) {
            TimeUnit.MILLISECONDS.sleep(FAULT_CHECK_MILLIS);
        }
    }

    private void resetConnections() {
        try {
            while (true) {
                if (faults.isOn("reset")) {
                    sockets.forEach(socket -> close(socket));
                }
                TimeUnit.MILLISECONDS.sleep(FAULT_CHECK_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long faultOrConfigured(String fault, long configured) {
        long value = faults.number(fault);
        return value >= 0 ? value : configured;
    }

    private void close(Socket... toClose) {
        for (Socket socket : toClose) {
            sockets.remove(socket);
            try {
                socket.close();
            } catch (IOException e) {
                System.err.println("close failed: " + e);
            }
        }
    }

    private static void startDaemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }
}
