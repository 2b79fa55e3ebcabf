package org.masticcroft.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Server on loopback that answers each request with bytes chosen by the test. */
final class MisbehavingServer implements AutoCloseable {
    /** Most bytes that an endless response sends, so that a client without a bound fails instead of hanging. */
    private static final int ENDLESS_BYTES = 64 * 1024 * 1024;

    private final ServerSocket socket;
    private final Script script;
    private final AtomicInteger connections = new AtomicInteger();
    private final CountDownLatch closedByClient = new CountDownLatch(1);

    private MisbehavingServer(ServerSocket socket, Script script) {
        this.socket = socket;
        this.script = script;
    }

    /** Starts a server that runs the script for each request of a connection. */
    static MisbehavingServer start(Script script) {
        try {
            MisbehavingServer server =
                    new MisbehavingServer(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), script);
            daemon(server::acceptConnections);
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Address address() {
        return new Address("127.0.0.1", socket.getLocalPort());
    }

    int connections() {
        return connections.get();
    }

    /** Waits until a client has closed a connection to which the server still wrote. */
    boolean closedByClient() throws InterruptedException {
        return closedByClient.await(10, TimeUnit.SECONDS);
    }

    /** Writes a prefix and then the same text again and again, until the client closes the connection. */
    static void writeEndlessly(OutputStream out, String prefix, String repeated) throws IOException {
        out.write(bytes(prefix));
        byte[] block = bytes(repeated.repeat(Math.max(1, 4096 / repeated.length())));
        for (int sent = 0; sent < ENDLESS_BYTES; sent += block.length) {
            out.write(block);
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket connection = socket.accept();
                connections.incrementAndGet();
                daemon(() -> serve(connection));
            }
        } catch (IOException e) {
            // The test has ended and closed the socket.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = connection.getInputStream();
            for (int request = 1; readHead(in); request++) {
                if (!respond(request, connection)) {
                    return;
                }
            }
        } catch (IOException e) {
            closedByClient.countDown();
        }
    }

    /** Runs the script and returns whether the connection stays open. */
    private boolean respond(int request, Socket connection) throws IOException {
        try {
            script.respond(request, connection.getOutputStream());
            connection.getOutputStream().flush();
            return true;
        } catch (Close e) {
            return false;
        } catch (Reset e) {
            connection.setSoLinger(true, 0);
            return false;
        }
    }

    private static boolean readHead(InputStream in) throws IOException {
        int newlines = 0;
        for (int next = in.read(); next >= 0; next = in.read()) {
            newlines = next == '\n' ? newlines + 1 : next == '\r' ? newlines : 0;
            if (newlines == 2) {
                return true;
            }
        }
        return false;
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Thrown by a script to close the connection. */
    static final class Close extends IOException {
        private static final long serialVersionUID = 1L;
    }

    /** Thrown by a script to reset the connection. */
    static final class Reset extends IOException {
        private static final long serialVersionUID = 1L;
    }

    /** Writes the bytes that follow a request. */
    @FunctionalInterface
    interface Script {
        void respond(int request, OutputStream out) throws IOException;
    }
}
