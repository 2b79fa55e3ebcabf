package org.masticcroft.standins.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An upstream whose script writes each response byte by byte, so that tests can truncate, reset, repeat or forge
 * responses. It records every request.
 */
public final class ScriptedUpstream implements AutoCloseable {
    private final ServerSocket listener;
    private final List<Request> requests = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile Script script;
    private volatile boolean keepsBodies = true;

    private ScriptedUpstream(ServerSocket listener, Script script) {
        this.listener = listener;
        this.script = script;
    }

    /** Starts an upstream on a free port of the loopback address. */
    public static ScriptedUpstream start(Script script) {
        try {
            ScriptedUpstream upstream =
                    new ScriptedUpstream(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), script);
            startDaemon(upstream::accept);
            return upstream;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on the loopback address", e);
        }
    }

    /** Records the requests without their bodies from now on, which saves the memory for many large ones. */
    public ScriptedUpstream withoutBodies() {
        keepsBodies = false;
        return this;
    }

    public int port() {
        return listener.getLocalPort();
    }

    /** Returns the requests received so far. */
    public List<Request> requests() {
        return List.copyOf(requests);
    }

    /** Replaces the script for the requests that follow. */
    public void setScript(Script newScript) {
        script = newScript;
    }

    @Override
    public void close() {
        closeQuietly(listener);
        sockets.forEach(ScriptedUpstream::closeQuietly);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                sockets.add(socket);
                startDaemon(() -> serve(socket));
            } catch (IOException e) {
                // The listener was closed at the end of a test.
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Request request = read(in); request != null; request = read(in)) {
                requests.add(keepsBodies ? request : new Request(request.line(), request.headers(), new byte[0]));
                script.serve(request, new Answer(socket, in));
            }
        } catch (IOException e) {
            // The peer has disconnected or the script has closed the connection.
            closeQuietly(socket);
        }
    }

    private static Request read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.append((char) b);
        }
        String[] lines = head.toString().split("\r\n");
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(
                    lines[i].substring(0, colon), lines[i].substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
        return new Request(lines[0], headers, body);
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "scripted-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            // No test depends on whether closing succeeds.
            return;
        }
    }

    /** Writes the response to one request. */
    @FunctionalInterface
    public interface Script {
        /** Writes the response; the script may close or reset the connection at any point. */
        void serve(Request request, Answer answer) throws IOException;
    }

    /**
     * A request as received.
     *
     * @param line request line
     * @param headers headers by case-insensitive name
     * @param body body
     */
    public record Request(String line, Map<String, String> headers, byte[] body) {}

    /** Writes to, closes or resets the connection of one request. */
    public static final class Answer {
        private final Socket socket;
        private final InputStream in;

        private Answer(Socket socket, InputStream in) {
            this.socket = socket;
            this.in = in;
        }

        /** Returns whether the peer still waits for the response, as an engine checks before it begins a request. */
        public boolean awaited() throws IOException {
            socket.setSoTimeout(1);
            in.mark(1);
            try {
                if (in.read() < 0) {
                    return false;
                }
                in.reset();
            } catch (SocketTimeoutException e) {
                // Nothing was received, so the connection is open.
                return true;
            } finally {
                socket.setSoTimeout(0);
            }
            return true;
        }

        /** Sends text without framing, encoded as ISO 8859-1. */
        public Answer send(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            return this;
        }

        /** Sends one chunk of a chunked body. */
        public Answer chunk(String text) throws IOException {
            return send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        /** Closes the connection. */
        public void close() throws IOException {
            socket.close();
        }

        /** Closes the connection with a TCP reset. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
