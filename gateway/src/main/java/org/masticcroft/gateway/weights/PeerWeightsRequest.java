package org.masticcroft.gateway.weights;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * The calls by which sidecars hand weights to each other: {@code GET /weights/MODEL/VERSION/NUMBER} for a piece and
 * {@code GET /weights/MODEL/VERSION/manifest} for the digests, one a line.
 *
 * @param model name of the model
 * @param version version of the weights
 * @param piece number of the piece; empty for the manifest
 */
public record PeerWeightsRequest(String model, long version, OptionalInt piece) {
    private static final String PREFIX = "/weights/";
    private static final String MANIFEST = "manifest";
    private static final int PARTS = 3;

    /** Parses the path of a call; empty if it is none of these calls. */
    public static Optional<PeerWeightsRequest> parse(String uri) {
        if (!uri.startsWith(PREFIX)) {
            return Optional.empty();
        }
        String[] parts = uri.substring(PREFIX.length()).split("/");
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            OptionalInt piece =
                    parts[2].equals(MANIFEST) ? OptionalInt.empty() : OptionalInt.of(Integer.parseInt(parts[2]));
            return Optional.of(new PeerWeightsRequest(parts[0], Long.parseLong(parts[1]), piece));
        } catch (NumberFormatException e) {
            // Not a call of a sidecar; the server answers 404.
            return Optional.empty();
        }
    }

    /** Returns the request to a peer. */
    public FullHttpRequest toHttpRequest(String host) {
        String what = piece.isPresent() ? Integer.toString(piece.getAsInt()) : MANIFEST;
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.GET,
                PREFIX + model + "/" + version + "/" + what,
                Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, host);
        return request;
    }

    /** Encodes a manifest. */
    static byte[] encode(Manifest manifest) {
        return String.join("\n", manifest.digests()).getBytes(StandardCharsets.US_ASCII);
    }

    /** Decodes the manifest that a peer sent. */
    public static Manifest decode(String model, long version, ByteBuf body) {
        return new Manifest(
                model, version, List.of(body.toString(StandardCharsets.US_ASCII).split("\n")));
    }
}
