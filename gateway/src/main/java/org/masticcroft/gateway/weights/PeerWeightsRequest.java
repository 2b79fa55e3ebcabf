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
 * A request from one sidecar to another: {@code GET /weights/MODEL/VERSION/NUMBER} for a piece, or
 * {@code GET /weights/MODEL/VERSION/manifest} for the digests of all pieces, one per line.
 *
 * @param model name of the model
 * @param version version of the weights
 * @param piece index of the piece; empty for the manifest
 */
public record PeerWeightsRequest(String model, long version, OptionalInt piece) {
    private static final String PREFIX = "/weights/";
    private static final String MANIFEST = "manifest";
    private static final int SEGMENTS = 3;

    /** Parses the path of a request; empty if it is neither of the two. */
    public static Optional<PeerWeightsRequest> parse(String uri) {
        if (!uri.startsWith(PREFIX)) {
            return Optional.empty();
        }
        String[] segments = uri.substring(PREFIX.length()).split("/");
        if (segments.length != SEGMENTS) {
            return Optional.empty();
        }
        try {
            OptionalInt piece =
                    segments[2].equals(MANIFEST) ? OptionalInt.empty() : OptionalInt.of(Integer.parseInt(segments[2]));
            return Optional.of(new PeerWeightsRequest(segments[0], Long.parseLong(segments[1]), piece));
        } catch (NumberFormatException e) {
            // Not a request for weights; the server answers 404.
            return Optional.empty();
        }
    }

    /** Returns the HTTP request to send to a peer. */
    public FullHttpRequest toHttpRequest(String host) {
        String resource = piece.isPresent() ? Integer.toString(piece.getAsInt()) : MANIFEST;
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.GET,
                PREFIX + model + "/" + version + "/" + resource,
                Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, host);
        return request;
    }

    /** Encodes a manifest as the body of a response. */
    static byte[] encode(Manifest manifest) {
        return String.join("\n", manifest.digests()).getBytes(StandardCharsets.US_ASCII);
    }

    /** Decodes a manifest from the body of a response. */
    public static Manifest decode(String model, long version, ByteBuf body) {
        return new Manifest(
                model, version, List.of(body.toString(StandardCharsets.US_ASCII).split("\n")));
    }
}
