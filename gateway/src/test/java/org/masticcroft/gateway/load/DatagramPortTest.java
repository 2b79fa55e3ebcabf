package org.masticcroft.gateway.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.generated.Datagram;
import org.masticcroft.gateway.generated.HeldPieces;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.time.TimeSource;

/** Pattern: datagrams that no process of the fleet has sent reach the port of one. */
class DatagramPortTest {
    private static final String LAST = "last";
    private static final int ATTEMPTS = 100;

    private final DecisionLog log =
            DecisionLog.start(TimeSource.system(), new PrintStream(OutputStream.nullOutputStream()));
    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private DatagramSocket sender;
    private int port;

    @BeforeEach
    void open() throws IOException {
        sender = new DatagramSocket();
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
    }

    @AfterEach
    void close() {
        sender.close();
        loop.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        log.close();
    }

    private void listen(boolean failing) {
        DatagramPort.of(loop, log).listen(new Address("127.0.0.1", port), (from, datagram) -> {
            String model = datagram.getHeld().getModel();
            if (failing && !model.equals(LAST)) {
                throw new IllegalArgumentException("not a model: " + model);
            }
            received.add(model);
        });
    }

    private void send(byte[] data) throws IOException {
        sender.send(new DatagramPacket(data, data.length, InetAddress.getLoopbackAddress(), port));
    }

    private static byte[] held(String model) {
        return Datagram.newBuilder()
                .setHeld(HeldPieces.newBuilder().setModel(model).setBitmap(ByteString.EMPTY))
                .build()
                .toByteArray();
    }

    /** Sends the last datagram until it arrives; the socket may drop it while it is full of the others. */
    private void assertLastIsReceived() throws IOException, InterruptedException {
        for (int i = 0; i < ATTEMPTS && !received.contains(LAST); i++) {
            send(held(LAST));
            TimeUnit.MILLISECONDS.sleep(50);
        }
        assertThat(received).contains(LAST);
    }

    @Nested
    class Garbage {
        /** Guards against a port that is closed, or a process that ends, at a datagram that cannot be decoded. */
        @Test
        void isDropped() throws IOException, InterruptedException {
            listen(false);
            Random random = new Random(24);
            for (int i = 0; i < 200; i++) {
                byte[] data = new byte[random.nextInt(1500)];
                random.nextBytes(data);
                send(data);
            }
            send(new byte[0]);
            assertLastIsReceived();
        }

        /** Guards against an overflow of the stack at groups within groups. */
        @Test
        void thatIsDeeplyNestedIsDropped() throws IOException, InterruptedException {
            listen(false);
            byte[] startsOfGroups = new byte[1900];
            Arrays.fill(startsOfGroups, (byte) 0x7b);
            send(startsOfGroups);
            assertLastIsReceived();
        }

        /** Guards against a port that is closed when its handler rejects what a datagram says. */
        @Test
        void thatItsHandlerRejectsDoesNotEndTheReceipt() throws IOException, InterruptedException {
            listen(true);
            send(held("odd"));
            assertLastIsReceived();
        }
    }
}
