package org.masticcroft.gateway.loop;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticcroft.gateway.config.CallerLimits;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.http.HttpServer;
import org.masticcroft.kernel.time.TimeSource;

/** A server process that is stopped with SIGSTOP while requests arrive. */
class FrozenProcessTest {
    private static final int FREEZES = 4;
    private static final int FREEZE_MILLIS = 1500;
    private static final int TIMEOUT_MILLIS = 10_000;

    /** Longest time for which a request is still in transit when the process goes on. */
    private static final long TOLERANCE_MILLIS = 100;

    /** Guards against requests that count as new although they arrived while the process was frozen. */
    @ParameterizedTest
    @ValueSource(longs = {5, 50, 400})
    void takesARequestToHaveArrivedBeforeTheEndOfTheFreeze(long timerMillis) throws Exception {
        int port = freePort();
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Server.class.getName(),
                        Integer.toString(port),
                        Long.toString(timerMillis))
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        List<Long> waitedMillis = new ArrayList<>();
        try (BufferedReader output = new BufferedReader(new InputStreamReader(process.getInputStream(), US_ASCII))) {
            assertThat(output.readLine()).isEqualTo("listening");
            try (Socket caller = new Socket("127.0.0.1", port)) {
                caller.setSoTimeout(TIMEOUT_MILLIS);
                request(caller);
                for (int i = 0; i < FREEZES; i++) {
                    Thread.sleep(100 + 13 * i);
                    signal(process, "STOP");
                    awaitStop(process);
                    send(caller);
                    Thread.sleep(FREEZE_MILLIS);
                    assertThat(caller.getInputStream().available())
                            .as("response of a frozen process")
                            .isZero();
                    signal(process, "CONT");
                    waitedMillis.add(read(caller));
                }
            }
        } finally {
            process.destroyForcibly();
        }
        assertThat(waitedMillis)
                .as("stated waits in ms")
                .allSatisfy(waited -> assertThat(waited).isGreaterThanOrEqualTo(FREEZE_MILLIS - TOLERANCE_MILLIS));
    }

    private static void signal(Process process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Waits until no thread of the process runs, since the signal takes effect on each of them later. */
    private static void awaitStop(Process process) throws IOException, InterruptedException {
        while (!allThreadsStopped(process)) {
            Thread.sleep(1);
        }
    }

    private static boolean allThreadsStopped(Process process) throws IOException {
        try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(process.pid()), "task"))) {
            for (Path thread : (Iterable<Path>) threads::iterator) {
                String stat = Files.readString(thread.resolve("stat"));
                if (!stat.substring(stat.lastIndexOf(')')).startsWith(") T")) {
                    return false;
                }
            }
            return true;
        }
    }

    private static long request(Socket caller) throws IOException {
        send(caller);
        return read(caller);
    }

    private static void send(Socket caller) throws IOException {
        caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(US_ASCII));
    }

    /** Reads a response and returns its header field with the wait of the request. */
    private static long read(Socket caller) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = caller.getInputStream().read();
            if (b < 0) {
                throw new IOException("connection closed after: " + head);
            }
            head.append((char) b);
        }
        int start = head.indexOf("waited-ms: ") + "waited-ms: ".length();
        return Long.parseLong(head.substring(start, head.indexOf("\r\n", start)));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** Answers each request with the time for which it may have waited. */
    static final class Server {
        private Server() {}

        public static void main(String[] args) {
            TimeSource time = TimeSource.system();
            InputTimes inputs = InputTimes.of(time);
            EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, inputs.ioHandlerFactory()).next();
            HttpServer.of(loop, time, inputs, CallerLimits::defaults, (head, body, writer) -> {
                        DefaultHttpHeaders headers = new DefaultHttpHeaders();
                        headers.set(
                                "waited-ms",
                                TimeUnit.NANOSECONDS.toMillis(time.nanoTime() - writer.earliestArrivalNanos()));
                        writer.writeFull(200, headers, Unpooled.EMPTY_BUFFER);
                    })
                    .listen(new Address("127.0.0.1", Integer.parseInt(args[0])));
            long timerMillis = Long.parseLong(args[1]);
            loop.scheduleAtFixedRate(() -> {}, timerMillis, timerMillis, TimeUnit.MILLISECONDS);
            System.out.println("listening");
        }
    }
}
