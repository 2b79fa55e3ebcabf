package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** One connection of a client. */
final class Client implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream in;

    Client(String address) throws IOException {
        String[] parts = address.split(":");
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(10_000);
        socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Returns the bytes of a request. */
    static byte[] request(String method, String host, String path, String id, String headers, String body) {
        return (method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nMasticcroft-Attempt-Id: " + id + "\r\n"
                        + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    void write(byte[] bytes, int from, int to) throws IOException {
        socket.getOutputStream().write(bytes, from, to - from);
        socket.getOutputStream().flush();
    }

    Response send(byte[] request) throws IOException {
        write(request, 0, request.length);
        return read();
    }

    /** Reads one response to its end; fails if the connection ends before. */
    Response read() throws IOException {
        String line = HttpStandIn.readLine(in);
        if (line == null) {
            throw new IOException("connection closed without a response");
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String header = HttpStandIn.readLine(in); !header.isEmpty(); header = HttpStandIn.readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon), header.substring(colon + 1).trim());
        }
        StringBuilder body = new StringBuilder();
        if (headers.getOrDefault("Transfer-Encoding", "").equals("chunked")) {
            for (int size = chunkSize(); size > 0; size = chunkSize()) {
                body.append(new String(in.readNBytes(size), StandardCharsets.ISO_8859_1));
                HttpStandIn.readLine(in);
            }
            HttpStandIn.readLine(in);
        } else {
            int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
            byte[] content = in.readNBytes(length);
            if (content.length < length) {
                throw new IOException("response broke off");
            }
            body.append(new String(content, StandardCharsets.ISO_8859_1));
        }
        return new Response(Integer.parseInt(line.split(" ")[1]), headers, body.toString());
    }

    private int chunkSize() throws IOException {
        String line = HttpStandIn.readLine(in);
        if (line == null) {
            throw new IOException("response broke off");
        }
        return Integer.parseInt(line.trim(), 16);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    record Response(int status, Map<String, String> headers, String body) {}

    /** Waits until a node reports that it is ready. */
    static void awaitReady(String address) throws InterruptedException, IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            try (Client client = new Client(address)) {
                if (client.send(request("GET", address, "/-/ready", "r", "", "")).status() == 200) {
                    return;
                }
            } catch (IOException e) {
                // The node does not listen yet.
            }
            Thread.sleep(100);
        }
        throw new IOException("the entry is not ready after 20 s");
    }
}
