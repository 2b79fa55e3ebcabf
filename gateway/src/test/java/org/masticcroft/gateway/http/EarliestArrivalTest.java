package org.masticcroft.gateway.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.config.CallerLimits;
import org.masticcroft.gateway.loop.InputTimes;
import org.masticcroft.kernel.time.TimeSource;

/** The earliest arrival that a server states of the requests on new connections. */
class EarliestArrivalTest {
    /** Connections that a server accepts in one turn of the event loop. */
    private static final int ACCEPTED_PER_TURN = 1024;

    private final TimeSource time = TimeSource.system();
    private final InputTimes inputs = InputTimes.of(time);
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, inputs.ioHandlerFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final Map<String, Long> earliestNanos = new ConcurrentHashMap<>();
    private final HttpServer server =
            HttpServer.of(loop, time, inputs, CallerLimits::defaults, (head, body, writer) -> {
                if (head.uri().equals("/error")) {
                    throw new AssertionError("handler of a test");
                }
                earliestNanos.put(head.uri(), writer.earliestArrivalNanos());
                writer.writeFull(200, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
            });
    private final Address address = new Address("127.0.0.1", freePort());
    private final List<Socket> sockets = new ArrayList<>();

    EarliestArrivalTest() throws IOException {
        server.listen(address);
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** Guards against requests that count as new although they waited while the listener was being closed. */
    @Test
    void precedesTheConnectionIfTheListenerIsClosing() throws Exception {
        loop.execute(() -> {
            server.stopListening();
            pause(600);
        });
        pause(100);
        Socket socket = connect();
        long connectedNanos = time.nanoTime();
        request(socket, "/late");

        assertThat(TimeUnit.NANOSECONDS.toMillis(earliestNanos.get("/late") - connectedNanos))
                .as("earliest arrival, in ms after the connection was established")
                .isLessThanOrEqualTo(0);
    }

    /** Guards against calm requests that count as old because a full accept queue was read long before. */
    @Test
    void isRecentAfterAFullAcceptQueue() throws Exception {
        Future<?> heldUp = loop.submit(() -> pause(4000));
        for (int i = 0; i < ACCEPTED_PER_TURN; i++) {
            connect();
        }
        assertThat(heldUp.isDone()).as("accepted before all had connected").isFalse();
        heldUp.awaitUninterruptibly();
        pause(500);
        assertThat(server.openConnections()).isEqualTo(ACCEPTED_PER_TURN);
        loop.scheduleAtFixedRate(() -> {}, 20, 20, TimeUnit.MILLISECONDS);
        pause(1500);
        long beforeNanos = time.nanoTime();
        request(connect(), "/calm");

        assertThat(TimeUnit.NANOSECONDS.toMillis(beforeNanos - earliestNanos.get("/calm")))
                .as("time in ms from the earliest arrival to the connection")
                .isLessThan(200);
    }

    /** Guards against a server that handles no request any more after the handler of one has failed. */
    @Test
    void isStatedAlsoAfterAnErrorOfTheHandler() throws Exception {
        Socket failing = connect();
        send(failing, "/error");
        pause(200);
        request(connect(), "/next");

        assertThat(earliestNanos).containsKey("/next");
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", address.port());
        socket.setSoTimeout(5000);
        sockets.add(socket);
        return socket;
    }

    private static void send(Socket socket, String path) throws IOException {
        socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(ISO_8859_1));
    }

    private static void request(Socket socket, String path) throws IOException {
        send(socket, path);
        assertThat(socket.getInputStream().readNBytes(12)).asString(ISO_8859_1).isEqualTo("HTTP/1.1 200");
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
