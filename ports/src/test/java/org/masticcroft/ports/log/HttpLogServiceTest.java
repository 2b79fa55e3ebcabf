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

    private final AtomicReference<String> requestLine = new AtomicReference<>();
    private final CountDownLatch testEnded = new CountDownLatch(1);
    private HttpServer server;
    private HttpLogService log;
    private URI base;
    private volatile int status = 200;
    private volatile String body = "{\"offset\":7,\"added_later\":1}";

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext("/", exchange -> {
            requestLine.set(exchange.getRequestMethod() + " " + exchange.getRequestURI());
            exchange.getRequestBody().readAllBytes();
            if (status == 0) {
                awaitTestEnd();
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
        testEnded.countDown();
        server.stop(0);
    }

    private void awaitTestEnd() {
        try {
            testEnded.await();
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
        /** Guards against a client that deviates from the HTTP interface of the log service. */
        @Test
        void followTheProtocolOfTheLog() {
            assertThat(log.append("config", DATA)).isEqualTo(7);
            assertThat(requestLine).hasValue("POST /streams/config/records");
            body = "{\"earliest\":3,\"next\":6,\"records\":[{\"offset\":5,\"time_ms\":1000,\"data\":\"ZGF0YQ==\"}]}";
            LogPage page = log.read("config", 5, 10, Duration.ofMillis(1500));
            assertThat(requestLine).hasValue("GET /streams/config/records?from=5&max=10&wait_ms=1500");
            assertThat(page.earliest()).isEqualTo(3);
            assertThat(page.next()).isEqualTo(6);
            assertThat(page.records()).singleElement().satisfies(logRecord -> {
                assertThat(logRecord.offset()).isEqualTo(5);
                assertThat(logRecord.time()).isEqualTo(Instant.ofEpochSecond(1));
                assertThat(logRecord.data()).isEqualTo(DATA);
            });
        }
    }

    @Nested
    class Verdicts {
        /** Guards against a wrong verdict: a refused append has not run, one with an ambiguous status may have run. */
        @ParameterizedTest
        @CsvSource({"429,NOT_RUN", "503,NOT_RUN", "400,NOT_RUN", "500,MAY_HAVE_RUN", "502,MAY_HAVE_RUN"})
        void followTheStatus(int responseStatus, Verdict verdict) {
            status = responseStatus;
            assertUnavailable(() -> log.append("config", DATA), verdict);
        }

        /** Guards against a malformed response that is reported as a refused append. */
        @ParameterizedTest
        @ValueSource(strings = {"{}", "<html>", "null"})
        void areUncertainForAMalformedResponse(String content) {
            body = content;
            assertUnavailable(() -> log.append("config", DATA), Verdict.MAY_HAVE_RUN);
        }

        /** Guards against a missing response that is reported as a refused append, or that blocks the caller. */
        @Test
        void areUncertainWithoutAResponse() {
            status = 0;
            HttpLogService shortTimeout = HttpLogService.of(base, Duration.ofSeconds(3));
            assertUnavailable(() -> shortTimeout.append("config", DATA), Verdict.MAY_HAVE_RUN);
        }

        /** Guards against a request that was never sent but is reported as possibly stored. */
        @Test
        void areNotRunWithoutAConnection() {
            server.stop(0);
            assertUnavailable(() -> log.append("config", DATA), Verdict.NOT_RUN);
        }
    }
}
