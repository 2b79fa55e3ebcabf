package org.masticcroft.ports.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.verdict.Verdict;

class HttpLogServiceTest {
    private static final byte[] DATA = "data".getBytes(StandardCharsets.UTF_8);

    private final AtomicReference<String> requested = new AtomicReference<>();
    private final CountDownLatch never = new CountDownLatch(1);
    private HttpServer server;
    private HttpLogService log;
    private URI base;
    private volatile int status = 200;
    private volatile String body = "{\"offset\":7,\"added_later\":1}";

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext("/", exchange -> {
            requested.set(exchange.getRequestMethod() + " " + exchange.getRequestURI());
            exchange.getRequestBody().readAllBytes();
            if (status == 0) {
                awaitEnd();
            }
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        });
        server.start();
        base = URI.create("http://127.0.0.1:" + server.getAddress().getPort() + "/");
        log = HttpLogService.of(base, Duration.ofSeconds(30));
    }

    @AfterEach
    void stop() {
        never.countDown();
        server.stop(0);
    }

    private void awaitEnd() {
        try {
            never.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void assertUnavailable(ThrowingCallable call, Verdict verdict) {
        assertThatThrownBy(call).isInstanceOfSatisfying(MasticcroftException.class, failure -> {
            assertThat(failure.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
            assertThat(failure.verdict()).isEqualTo(verdict);
        });
    }

    @Nested
    class Requests {
        /** Guards against a client that does not speak the log's protocol. */
        @Test
        void followTheProtocolOfTheLog() {
            assertThat(log.append("config", DATA)).isEqualTo(7);
            assertThat(requested).hasValue("POST /streams/config/records");
            body = "{\"earliest\":3,\"next\":6,\"records\":[{\"offset\":5,\"time_ms\":1000,\"data\":\"ZGF0YQ==\"}]}";
            LogPage page = log.read("config", 5, 10, Duration.ofMillis(1500));
            assertThat(requested).hasValue("GET /streams/config/records?from=5&max=10&wait_ms=1500");
            assertThat(page.earliest()).isEqualTo(3);
            assertThat(page.next()).isEqualTo(6);
            assertThat(page.records()).singleElement().satisfies(entry -> {
                assertThat(entry.offset()).isEqualTo(5);
                assertThat(entry.time()).isEqualTo(Instant.ofEpochSecond(1));
                assertThat(entry.data()).isEqualTo(DATA);
            });
        }
    }

    @Nested
    class Verdicts {
        /** Guards against a refused append that counts as possible, or an unclear one that counts as refused. */
        @ParameterizedTest
        @CsvSource({"429,NOT_RUN", "503,NOT_RUN", "400,NOT_RUN", "500,MAY_HAVE_RUN", "502,MAY_HAVE_RUN"})
        void followTheStatus(int answered, Verdict verdict) {
            status = answered;
            assertUnavailable(() -> log.append("config", DATA), verdict);
        }

        /** Guards against a damaged response that counts as refused. */
        @ParameterizedTest
        @ValueSource(strings = {"{}", "<html>", "null"})
        void areOpenWithADamagedAnswer(String content) {
            body = content;
            assertUnavailable(() -> log.append("config", DATA), Verdict.MAY_HAVE_RUN);
        }

        /** Guards against a response that never comes and counts as refused, or blocks the caller. */
        @Test
        void areOpenWithoutAnAnswer() {
            status = 0;
            HttpLogService impatient = HttpLogService.of(base, Duration.ofSeconds(3));
            assertUnavailable(() -> impatient.append("config", DATA), Verdict.MAY_HAVE_RUN);
        }

        /** Guards against an operator who must look for a record that never left the machine. */
        @Test
        void areNotRunWithoutAConnection() {
            server.stop(0);
            assertUnavailable(() -> log.append("config", DATA), Verdict.NOT_RUN);
        }
    }
}
