import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on plain sockets, so that stand-ins decide on each byte. */
final class Http {
    private Http() {}

    /** A start line and headers with lower-case names. */
    record Head(String line, Map<String, String> headers) {
        String get(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String path() {
            return line.split(" ")[1];
        }

        boolean closes() {
            return get("Connection").equalsIgnoreCase("close");
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /** Reads a head; null if the connection has ended before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String start = readLine(in);
        while (start != null && start.isEmpty()) {
            start = readLine(in);
        }
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); line != null; line = readLine(in)) {
            if (line.isEmpty()) {
                return new Head(start, headers);
            }
            int colon = line.indexOf(':');
            if (colon > 0) {
                headers.put(
                        line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
        }
        throw new EOFException("connection ended in a head");
    }

    /** Reads a body that has a length or comes in chunks. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (head.get("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            return readChunks(in);
        }
        String length = head.get("Content-Length");
        return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                int end = line.length();
                return end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : line.toString();
            }
            line.append((char) c);
        }
        return line.length() == 0 ? null : line.toString();
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] data = in.readNBytes(length);
        if (data.length < length) {
            throw new EOFException("connection ended in a body");
        }
        return data;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) {
                throw new EOFException("connection ended between chunks");
            }
            int length = Integer.parseInt(size.trim(), 16);
            if (length > 0) {
                body.write(readExactly(in, length));
            }
            String end = readLine(in);
            if (end == null || !end.isEmpty()) {
                throw new EOFException("connection ended after a chunk");
            }
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }
}
