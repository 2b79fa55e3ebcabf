package org.masticcroft.standins.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An upstream whose answers are written byte by byte by a script, so that it can break off, reset, repeat or forge
 * them. It records every request.
 */
public final class ScriptedUpstream implements AutoCloseable {
    private final ServerSocket listening;
    private final List<Request> requests = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile Script script;

    private ScriptedUpstream(ServerSocket listening, Script script) {
        this.listening = listening;
        this.script = script;
    }

    /** Starts an upstream on a free port of the loopback address. */
    public static ScriptedUpstream start(Script script) {
        try {
            ScriptedUpstream upstream =
                    new ScriptedUpstream(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), script);
            daemon(upstream::accept);
            return upstream;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on the loopback address", e);
        }
    }

    public int port() {
        return listening.getLocalPort();
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
        closeQuietly(listening);
        sockets.forEach(ScriptedUpstream::closeQuietly);
    }

    private void accept() {
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                sockets.add(socket);
                daemon(() -> serve(socket));
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
                requests.add(request);
                script.serve(request, new Answer(socket));
            }
        } catch (IOException e) {
            // The other side has gone or the script has closed the connection.
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

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work, "scripted-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            // Closing a test double; nothing depends on it.
            return;
        }
    }

    /** Answers one request. */
    @FunctionalInterface
    public interface Script {
        /** Writes the answer; it may end the connection in any way. */
        void serve(Request request, Answer answer) throws IOException;
    }

    /**
     * A request as received.
     *
     * @param line request line
     * @param headers headers, by name without regard to case
     * @param body body
     */
    public record Request(String line, Map<String, String> headers, byte[] body) {}

    /** The connection of one request. */
    public static final class Answer {
        private final Socket socket;

        private Answer(Socket socket) {
            this.socket = socket;
        }

        /** Sends text as it is. */
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

        /** Resets the connection. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
