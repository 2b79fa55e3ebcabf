package review;

import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Random;

/** The origin of weights. The bytes of a piece follow from its version and number. */
final class OriginStandIn {
    static final int CHUNKS = 96;
    static final int CHUNK_BYTES = 24_576;

    private OriginStandIn() {}

    static HttpStandIn start(String ip) throws IOException {
        return HttpStandIn.start(ip, (request, answer) -> {
            long version = request.number("version", 1);
            if (request.path().startsWith("/-/manifest/")) {
                answer.json(200, manifest(version));
            } else {
                answer.respond(200, "", piece(version, (int) request.number("num", 0)));
            }
        });
    }

    static byte[] piece(long version, int number) {
        byte[] data = new byte[CHUNK_BYTES];
        new Random(version * 1000 + number).nextBytes(data);
        return data;
    }

    private static String manifest(long version) {
        StringBuilder digests = new StringBuilder();
        for (int number = 0; number < CHUNKS; number++) {
            digests.append(number == 0 ? "" : ",").append('"').append(sha256(piece(version, number))).append('"');
        }
        return "{\"model\":\"m0\",\"version\":" + version + ",\"chunk-bytes\":" + CHUNK_BYTES
                + ",\"layers\":16,\"digests\":[" + digests + "]}";
    }

    private static String sha256(byte[] data) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(data));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
