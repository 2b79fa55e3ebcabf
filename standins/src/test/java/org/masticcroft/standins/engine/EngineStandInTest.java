package org.masticcroft.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.standins.digest.Sha256;
import org.masticcroft.standins.fault.Faults;
import org.masticcroft.standins.http.Json;
import org.masticcroft.standins.http.StandInServer;

class EngineStandInTest {
    private static final byte[] CHUNK = {1, 2, 3};
    private static final List<String> CHUNKS = List.of(Sha256.hex(CHUNK));
    private static final String DIGEST = Sha256.weightsDigest(CHUNKS);

    private final HttpClient client = HttpClient.newHttpClient();
    private StandInServer server;

    @BeforeEach
    void start() throws Exception {
        EngineSettings settings =
                new EngineSettings("e1", 2, 2, 1, 0, 1, 4, 0, 16, 0, 0, 100, 0, true, true, "", 0, Optional.empty());
        server = EngineStandIn.server(0, settings, Faults.of(EngineStandIn.FAULTS, 1), 1)
                .start();
        send("PUT", "/admin/weights/" + DIGEST + "/chunks/0", CHUNK);
        assertThat(load(5).statusCode()).isEqualTo(200);
    }

    @AfterEach
    void stop() {
        server.close();
    }

    @Nested
    class Serving {
        /** Guards against answers that a checker cannot attribute to a prompt or recognise as truncated. */
        @Test
        void answersWithTheExpectedTextOfEachToken() throws Exception {
            ObjectNode body = Json.parseObject(complete(false, 0, DIGEST).body().getBytes());
            String text = body.at("/choices/0/message/content").asText();
            AnswerText expected = AnswerText.of(Sha256.hex("hello"), DIGEST, 3);
            assertThat(text).isEqualTo(expected.token(0) + expected.token(1) + expected.token(2));
        }

        /** Guards against a resumed stream that repeats or skips tokens or lacks its end marker. */
        @Test
        void resumedStreamStartsAtTheRequestedToken() throws Exception {
            HttpResponse<String> response = complete(true, 1, DIGEST);
            AnswerText expected = AnswerText.of(Sha256.hex("hello"), DIGEST, 3);
            assertThat(response.headers().firstValue("X-Weights-Digest")).hasValue(DIGEST);
            assertThat(response.body())
                    .doesNotContain(expected.token(0))
                    .contains(expected.token(1), expected.token(2));
            assertThat(response.body()).endsWith("data: [DONE]\n\n").containsPattern(Pattern.quote(DIGEST));
        }

        /** Guards against an engine that serves different weights than the request names. */
        @Test
        void refusesWeightsThatAreNotLoaded() throws Exception {
            HttpResponse<String> response = complete(false, 0, "sha256:" + "0".repeat(64));
            assertThat(response.statusCode()).isEqualTo(409);
            assertThat(response.body()).contains("weights_not_loaded");
            assertThat(send("GET", "/ledger", new byte[0]).body()).contains("\"entries\":[]");
        }

        /** Guards against executions that are missing in the ledger. */
        @Test
        void ledgerShowsEachExecution() throws Exception {
            complete(false, 0, DIGEST);
            ObjectNode page = Json.parseObject(
                    send("GET", "/ledger?from=0", new byte[0]).body().getBytes());
            assertThat(page.at("/entries/0/request_id").asText()).isEqualTo("r1");
            assertThat(page.at("/entries/0/tokens").asInt()).isEqualTo(3);
            assertThat(page.at("/entries/0/outcome").asText()).isEqualTo("completed");
        }
    }

    @Nested
    class Commands {
        /** Guards against a stand-in that accepts commands with an outdated fencing token. */
        @Test
        void rejectsAnOlderFencingToken() throws Exception {
            assertThat(load(4).statusCode()).isEqualTo(409);
            assertThat(load(5).statusCode()).isEqualTo(200);
        }

        /**
         * Guards against a corrupted chunk that is reported with the digest of the bytes sent instead of those stored.
         */
        @Test
        void corruptedChunkIsReportedWithItsOwnDigest() throws Exception {
            send("POST", "/faults", "{\"corrupt_next_chunks\":1}".getBytes());
            assertThat(send("PUT", "/admin/weights/sha256:b/chunks/0", CHUNK).body())
                    .doesNotContain(CHUNKS.get(0));
            assertThat(send("PUT", "/admin/weights/sha256:b/chunks/0", CHUNK).body())
                    .contains(CHUNKS.get(0));
        }
    }

    private HttpResponse<String> complete(boolean stream, int resumeFrom, String weights) throws Exception {
        ObjectNode body = Json.object()
                .put("model", "m")
                .put("weights", weights)
                .put("request_id", "r1")
                .put("max_tokens", 3)
                .put("stream", stream)
                .put("resume_from", resumeFrom);
        body.putArray("messages").addObject().put("role", "user").put("content", "hello");
        return send("POST", "/v1/chat/completions", Json.bytes(body));
    }

    private HttpResponse<String> load(long fencingToken) throws Exception {
        ObjectNode body = Json.object()
                .put("model", "m")
                .put("version", "v1")
                .put("digest", DIGEST)
                .put("fence", fencingToken);
        CHUNKS.forEach(body.putArray("chunks")::add);
        return send("POST", "/admin/load", Json.bytes(body));
    }

    private HttpResponse<String> send(String method, String path, byte[] body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
                .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
