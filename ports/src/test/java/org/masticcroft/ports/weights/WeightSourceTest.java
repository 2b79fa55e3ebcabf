package org.masticcroft.ports.weights;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.kernel.time.ManualTimeSource;

class WeightSourceTest {
    private static final List<byte[]> CHUNKS = List.of(new byte[] {1, 2, 3, 4}, new byte[] {5, 6});
    private static final Manifest MANIFEST =
            new Manifest("m", "v 1", 6, 4, CHUNKS.stream().map(Sha256::hex).toList());

    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final List<HttpServer> servers = new ArrayList<>();
    private final List<String> paths = new ArrayList<>();

    @AfterEach
    void stop() {
        servers.forEach(server -> server.stop(0));
    }

    private URI serve(Map<String, byte[]> bodies) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", exchange -> {
            String path = exchange.getRequestURI().getPath();
            paths.add(path);
            byte[] body = bodies.get(path);
            exchange.sendResponseHeaders(body == null ? 503 : 200, body == null ? -1 : body.length);
            if (body != null) {
                exchange.getResponseBody().write(body);
            }
            exchange.close();
        });
        server.start();
        servers.add(server);
        return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
    }

    private static Map<String, byte[]> validBodies() throws IOException {
        return Map.of(
                "/weights/m/v 1/manifest",
                new ObjectMapper().writeValueAsBytes(MANIFEST),
                "/weights/m/v 1/chunks/0",
                CHUNKS.get(0),
                "/weights/m/v 1/chunks/1",
                CHUNKS.get(1));
    }

    private WeightSource source(URI... urls) {
        return FallbackWeightSource.of(
                time,
                List.of(urls).stream()
                        .map(url -> HttpWeightSource.of(HttpClient.newHttpClient(), url, Duration.ofSeconds(5)))
                        .toList());
    }

    @Nested
    class Manifests {
        /** Guards against a digest that differs from the one that other implementations compute. */
        @Test
        void digestIsSha256OfRawChunkDigests() {
            Manifest oneChunk = new Manifest("m", "v", 1, 1, List.of(Sha256.hex(new byte[] {0})));
            assertThat(oneChunk.digest().value())
                    .isEqualTo("sha256:"
                            + Sha256.hex(
                                    HexFormat.of().parseHex(oneChunk.chunks().get(0))));
        }

        /** Guards against a manifest whose last chunk has no defined length. */
        @Test
        void rejectsChunksThatDoNotMatchTheSize() {
            assertThatThrownBy(() -> new Manifest("m", "v", 9, 4, MANIFEST.chunks()))
                    .isInstanceOf(IllegalArgumentException.class);
        }

        /** Guards against a manifest whose weights are not those in the configuration. */
        @Test
        void rejectsManifestWithOtherDigest() throws IOException {
            WeightsDigest other = WeightsDigest.of("sha256:" + "0".repeat(64));
            WeightSource source = source(serve(validBodies()));
            assertThatThrownBy(() -> source.manifest("m", "v 1", other))
                    .isInstanceOfSatisfying(
                            MasticcroftException.class,
                            e -> assertThat(e.code()).isEqualTo(ErrorCode.WEIGHTS_MISMATCH));
        }
    }

    @Nested
    class Fallback {
        /** Guards against a rollout that stalls while the weight store is down. */
        @Test
        void readsFromOriginWhenStoreFails() throws IOException {
            WeightSource source = source(serve(Map.of()), serve(validBodies()));
            assertThat(source.manifest("m", "v 1", MANIFEST.digest())).isEqualTo(MANIFEST);
            assertThat(source.chunk(MANIFEST, 1)).isEqualTo(CHUNKS.get(1));
        }

        /** Guards against corrupt or short chunks from the store. */
        @Test
        void readsFromOriginWhenStoreIsCorrupt() throws IOException {
            WeightSource source =
                    source(serve(Map.of("/weights/m/v 1/chunks/0", new byte[] {1, 2, 3})), serve(validBodies()));
            assertThat(source.chunk(MANIFEST, 0)).isEqualTo(CHUNKS.get(0));
        }

        /** Guards against continuous requests to a source that is down. */
        @Test
        void backsOffFromFailedSource() throws IOException {
            WeightSource source = source(serve(Map.of()));
            for (int i = 0; i < 5; i++) {
                assertThatThrownBy(() -> source.chunk(MANIFEST, 0)).isInstanceOf(MasticcroftException.class);
            }
            assertThat(paths).hasSize(1);
            time.advance(FallbackWeightSource.INITIAL_BACK_OFF);
            assertThatThrownBy(() -> source.chunk(MANIFEST, 0)).isInstanceOf(MasticcroftException.class);
            assertThat(paths).hasSize(2);
        }
    }
}
