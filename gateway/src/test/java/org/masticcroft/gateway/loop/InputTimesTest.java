package org.masticcroft.gateway.loop;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.config.CallerLimits;
import org.masticcroft.gateway.generated.Datagram;
import org.masticcroft.gateway.generated.NamedWeights;
import org.masticcroft.gateway.generated.Subscription;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.http.HttpServer;
import org.masticcroft.gateway.load.DatagramPort;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.time.ManualTimeSource;
import org.masticcroft.kernel.time.TimeSource;

class InputTimesTest {
    /** More than the event loop takes from one socket in a turn. */
    private static final int INPUTS = 64;

    /** Interval of the most frequent task of an entry, which bounds the waits of its event loop. */
    private static final long TIMER_MILLIS = 20;

    @Nested
    class TheEarliestArrival {
        private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
        private final InputTimes inputs = InputTimes.of(time);

        /** Guards against a request that counts as new although it waited while the loop handled others. */
        @Test
        void isTheSelectionBeforeIfThereWasInputAlready() {
            selectAt(100);
            selectAt(700);

            time.advance(Duration.ofMillis(50));
            assertThat(inputs.longestWait()).isEqualTo(Duration.ofMillis(650));
        }

        /** Guards against requests that count as old because the loop was idle before them. */
        @Test
        void isTheEndOfASelectionThatWaitedForInput() {
            selectAt(100);
            waitUntil(1500, 2000);

            assertThat(inputs.longestWait()).isEqualTo(Duration.ZERO);
        }

        /** Guards against a request that counts as new because the thread of the loop was woken late. */
        @Test
        void isTheBeginOfAShortWait() {
            selectAt(100);
            waitUntil(115, 120);

            assertThat(inputs.longestWait()).isEqualTo(Duration.ofMillis(15));
        }

        /** Guards against a request that counts as new although it arrived while the process was paused. */
        @Test
        void isTheBeginOfASelectionThatOutlastsThePauseOfTheProcess() {
            selectAt(100);
            waitUntil(4000, 120);

            assertThat(inputs.longestWait()).isEqualTo(Duration.ofMillis(3900));
        }

        private void selectAt(long millis) {
            time.advance(Duration.ofMillis(millis).minusNanos(time.nanoTime()));
            inputs.selected(time.nanoTime());
        }

        private void waitUntil(long millis, long due) {
            long begunNanos = time.nanoTime();
            time.advance(Duration.ofMillis(millis).minusNanos(begunNanos));
            inputs.selectedAfterWait(begunNanos, Duration.ofMillis(due).toNanos());
        }
    }

    @Nested
    class AnEventLoop {
        private final TimeSource time = TimeSource.system();
        private final InputTimes inputs = InputTimes.of(time);
        private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, inputs.ioHandlerFactory());

        @AfterEach
        void stop() {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }

        /** Guards against a change of the event loop that no longer tells when it has selected its input. */
        @Test
        void notesEachSelection() throws Exception {
            EventLoop loop = (EventLoop) group.next();
            long first = inLaterTurn(loop);
            inLaterTurn(loop);
            inLaterTurn(loop);

            long later = inLaterTurn(loop);

            assertThat(later).isGreaterThan(first);
        }

        /** Guards against connections that count as new although they waited in the accept queue for several turns. */
        @Test
        void boundsTheWaitOfRequestsOnNewConnections() throws Exception {
            EventLoop loop = (EventLoop) group.next();
            loop.scheduleAtFixedRate(() -> {}, TIMER_MILLIS, TIMER_MILLIS, TimeUnit.MILLISECONDS);
            Map<String, Long> earliest = new ConcurrentHashMap<>();
            Address address = new Address("127.0.0.1", freePort());
            HttpServer.of(loop, time, inputs, CallerLimits::defaults, (head, body, writer) -> {
                        earliest.put(head.uri(), writer.earliestArrivalNanos());
                        pause(5);
                        writer.writeFull(200, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
                    })
                    .listen(address);
            Map<String, Long> sent = new HashMap<>();
            List<Socket> sockets = new ArrayList<>();
            loop.execute(() -> pause(500));
            for (int i = 0; i < INPUTS; i++) {
                Socket socket = new Socket(address.ip(), address.port());
                sockets.add(socket);
                socket.getOutputStream().write(("GET /" + i + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(US_ASCII));
                sent.put("/" + i, time.nanoTime());
            }
            for (Socket socket : sockets) {
                assertThat(socket.getInputStream().read()).isEqualTo('H');
                socket.close();
            }

            assertThat(countedAsLaterThanSent(earliest, sent)).isEmpty();
        }

        /** Guards against load reports that count as new although they waited in the receive buffer. */
        @Test
        void boundsTheWaitOfDatagrams() throws Exception {
            EventLoop loop = (EventLoop) group.next();
            loop.scheduleAtFixedRate(() -> {}, TIMER_MILLIS, TIMER_MILLIS, TimeUnit.MILLISECONDS);
            Map<String, Long> earliest = new ConcurrentHashMap<>();
            Address address = new Address("127.0.0.1", freePort());
            DatagramPort.of(loop, DecisionLog.start(time, new PrintStream(OutputStream.nullOutputStream())))
                    .listen(address, (sender, datagram) -> {
                        earliest.put(
                                "" + datagram.getSubscription().getNamed(0).getVersion(),
                                inputs.earliestArrivalNanos());
                        pause(5);
                    });
            Map<String, Long> sent = new HashMap<>();
            loop.execute(() -> pause(500));
            try (DatagramSocket socket = new DatagramSocket()) {
                for (int i = 0; i < INPUTS; i++) {
                    byte[] content = Datagram.newBuilder()
                            .setSubscription(Subscription.newBuilder()
                                    .addNamed(NamedWeights.newBuilder().setVersion(i)))
                            .build()
                            .toByteArray();
                    socket.send(new DatagramPacket(
                            content, content.length, InetAddress.getLoopbackAddress(), address.port()));
                    sent.put("" + i, time.nanoTime());
                }
            }
            long deadlineNanos = time.nanoTime() + Duration.ofSeconds(10).toNanos();
            while (earliest.size() < INPUTS && time.nanoTime() - deadlineNanos < 0) {
                pause(20);
            }

            assertThat(earliest).hasSize(INPUTS);
            assertThat(countedAsLaterThanSent(earliest, sent)).isEmpty();
        }

        /** Returns the earliest arrival in a later turn; submitted tasks may share the turn of the task before. */
        private long inLaterTurn(EventLoop loop) throws Exception {
            return loop.schedule(inputs::earliestArrivalNanos, 1, TimeUnit.MILLISECONDS)
                    .get();
        }

        private static List<String> countedAsLaterThanSent(Map<String, Long> earliest, Map<String, Long> sent) {
            return earliest.keySet().stream()
                    .filter(input -> earliest.get(input) - sent.get(input) > 0)
                    .toList();
        }

        private static void pause(long millis) {
            LockSupport.parkNanos(Duration.ofMillis(millis).toNanos());
        }

        private static int freePort() throws IOException {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            }
        }
    }
}
