package org.masticcroft.ports.log;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.verdict.Verdict;

/** {@link LogService} over HTTP. */
public final class HttpLogService implements LogService {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);
    private static final int OK = 200;
    private static final int REDIRECTION = 300;
    private static final int CLIENT_ERROR = 400;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final URI base;
    private final Duration answerTimeout;
    private final HttpClient client;

    private HttpLogService(URI base, Duration answerTimeout) {
        this.base = base;
        this.answerTimeout = answerTimeout;
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
    }

    /** Creates a client of the log service at {@code base}. */
    public static HttpLogService of(URI base) {
        return of(base, ANSWER_TIMEOUT);
    }

    /**
     * Creates a client of the log service at {@code base}.
     *
     * @param answerTimeout time for an answer; for a read it is added to the time that the service may wait
     */
    public static HttpLogService of(URI base, Duration answerTimeout) {
        return new HttpLogService(Objects.requireNonNull(base, "base"), answerTimeout);
    }

    @Override
    public long append(String stream, byte[] data) {
        HttpRequest request = HttpRequest.newBuilder(uri(stream, ""))
                .timeout(answerTimeout)
                .POST(HttpRequest.BodyPublishers.ofByteArray(data))
                .build();
        return parse(send(request), Appended.class).offset();
    }

    @Override
    public LogPage read(String stream, long from, int max, Duration wait) {
        String query = "?from=" + from + "&max=" + max + "&wait_ms=" + wait.toMillis();
        HttpRequest request = HttpRequest.newBuilder(uri(stream, query))
                .timeout(answerTimeout.plus(wait))
                .GET()
                .build();
        Page page = parse(send(request), Page.class);
        return new LogPage(
                page.earliest(),
                page.next(),
                page.records().stream().map(Item::toRecord).toList());
    }

    private URI uri(String stream, String query) {
        String root = base.toString().replaceFirst("/+$", "");
        return URI.create(root + "/streams/" + URLEncoder.encode(stream, StandardCharsets.UTF_8) + "/records" + query);
    }

    private byte[] send(HttpRequest request) {
        try {
            HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() < OK || response.statusCode() >= REDIRECTION) {
                throw refused(response.statusCode());
            }
            return response.body();
        } catch (ConnectException | HttpConnectTimeoutException e) {
            throw unavailable(Verdict.NOT_RUN, "cannot connect to the log service at " + base, e);
        } catch (IOException e) {
            throw unavailable(Verdict.MAY_HAVE_RUN, "no answer from the log service at " + base, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw unavailable(Verdict.MAY_HAVE_RUN, "interrupted while waiting for the log service", e);
        }
    }

    /** The service refuses with a 4xx status or with 503; another status leaves open whether it kept the record. */
    private static MasticcroftException refused(int status) {
        boolean certain = status >= CLIENT_ERROR && status < SERVER_ERROR || status == UNAVAILABLE;
        return unavailable(
                certain ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN, "the log service answered status " + status, null);
    }

    private static <T> T parse(byte[] body, Class<T> type) {
        try {
            return Objects.requireNonNull(JSON.readValue(body, type));
        } catch (IOException | RuntimeException e) {
            throw unavailable(Verdict.MAY_HAVE_RUN, "the answer of the log service is malformed", e);
        }
    }

    private static MasticcroftException unavailable(Verdict verdict, String message, Exception cause) {
        return MasticcroftException.of(ErrorCode.LOG_UNAVAILABLE, verdict, message, cause);
    }

    @JsonIgnoreProperties(ignoreUnknown = true)
    private record Appended(
            @JsonProperty(value = "offset", required = true) long offset) {}

    @JsonIgnoreProperties(ignoreUnknown = true)
    private record Page(
            @JsonProperty(value = "earliest", required = true)
            long earliest,

            @JsonProperty(value = "next", required = true) long next,

            @JsonProperty(value = "records", required = true)
            List<Item> records) {
        private Page {
            records = List.copyOf(records);
        }
    }

    @JsonIgnoreProperties(ignoreUnknown = true)
    private record Item(
            @JsonProperty(value = "offset", required = true) long offset,

            @JsonProperty(value = "time_ms", required = true)
            long timeMillis,

            @JsonProperty(value = "data", required = true) byte[] data) {
        private Item {
            Objects.requireNonNull(data, "data");
        }

        private LogRecord toRecord() {
            return new LogRecord(offset, Instant.ofEpochMilli(timeMillis), data);
        }
    }
}
