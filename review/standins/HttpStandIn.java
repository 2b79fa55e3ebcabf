package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP/1.1 server with one thread for each connection. */
final class HttpStandIn {
    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    private HttpStandIn(ServerSocket listener, Handler handler) {
        this.listener = listener;
        this.handler = handler;
    }

    /** Starts a server on a free port of a loopback address. */
    static HttpStandIn start(String ip, Handler handler) throws IOException {
        return start(ip, 0, handler);
    }

    /** Starts a server on a port. */
    static HttpStandIn start(String ip, int port, Handler handler) throws IOException {
        HttpStandIn server = new HttpStandIn(new ServerSocket(port, 200, InetAddress.getByName(ip)), handler);
        daemon(server::accept);
        return server;
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Ends like a process that crashes: stops listening and resets all connections. */
    void crash() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Request request = read(in); request != null; request = read(in)) {
                handler.handle(request, new Answer(socket));
            }
        } catch (IOException e) {
            // The connection was closed or reset.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(socket);
        }
    }

    private static Request read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon), header.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
        String[] words = line.split(" ");
        int question = words[1].indexOf('?');
        String path = question < 0 ? words[1] : words[1].substring(0, question);
        Map<String, String> query = new TreeMap<>();
        if (question >= 0) {
            for (String pair : words[1].substring(question + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], parts.length < 2 ? "" : parts[1]);
            }
        }
        return new Request(words[0], path, query, headers, body);
    }

    /** Reads a line without its end; null at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Answers one request; the connection is kept afterwards. */
    interface Handler {
        void handle(Request request, Answer answer) throws IOException, InterruptedException;
    }

    record Request(
            String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        long number(String field, long defaultValue) {
            return query.containsKey(field) ? Long.parseLong(query.get(field)) : defaultValue;
        }
    }

    /** Writes the response to one request. */
    static final class Answer {
        private final Socket socket;

        Answer(Socket socket) {
            this.socket = socket;
        }

        Socket socket() {
            return socket;
        }

        void respond(int status, String headers, byte[] body) throws IOException {
            ByteArrayOutputStream response = new ByteArrayOutputStream();
            response.write(("HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + body.length
                            + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            response.write(body);
            write(response.toByteArray());
        }

        void json(int status, String body) throws IOException {
            respond(status, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8));
        }

        void write(byte[] bytes) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
        }
    }
}
