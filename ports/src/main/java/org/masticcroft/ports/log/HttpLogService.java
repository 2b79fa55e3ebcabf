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
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);
    private static final int OK = 200;
    private static final int REDIRECTION = 300;
    private static final int CLIENT_ERROR = 400;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final URI base;
    private final Duration responseTimeout;
    private final HttpClient client;

    private HttpLogService(URI base, Duration responseTimeout) {
        this.base = base;
        this.responseTimeout = responseTimeout;
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
    }

    /** Creates a client of the log service at {@code base}. */
    public static HttpLogService of(URI base) {
        return of(base, RESPONSE_TIMEOUT);
    }

    /**
     * Creates a client of the log service at {@code base}.
     *
     * @param responseTimeout longest time for a response; for a read it is added to the time that the service may wait
     */
    public static HttpLogService of(URI base, Duration responseTimeout) {
        return new HttpLogService(Objects.requireNonNull(base, "base"), responseTimeout);
    }

    @Override
    public long append(String stream, byte[] data) {
        HttpRequest request = HttpRequest.newBuilder(uri(stream, ""))
                .timeout(responseTimeout)
                .POST(HttpRequest.BodyPublishers.ofByteArray(data))
                .build();
        return parse(send(request), AppendResponse.class).offset();
    }

    @Override
    public LogPage read(String stream, long from, int max, Duration wait) {
        String query = "?from=" + from + "&max=" + max + "&wait_ms=" + wait.toMillis();
        HttpRequest request = HttpRequest.newBuilder(uri(stream, query))
                .timeout(responseTimeout.plus(wait))
                .GET()
                .build();
        ReadResponse response = parse(send(request), ReadResponse.class);
        return new LogPage(
                response.earliest(),
                response.next(),
                response.records().stream().map(RecordJson::toRecord).toList());
    }

    private URI uri(String stream, String query) {
        String baseUrl = base.toString().replaceFirst("/+$", "");
        return URI.create(
                baseUrl + "/streams/" + URLEncoder.encode(stream, StandardCharsets.UTF_8) + "/records" + query);
    }

    private byte[] send(HttpRequest request) {
        try {
            HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() < OK || response.statusCode() >= REDIRECTION) {
                throw statusFailure(response.statusCode());
            }
            return response.body();
        } catch (ConnectException | HttpConnectTimeoutException e) {
            throw unavailable(Verdict.NOT_RUN, "cannot connect to the log service at " + base, e);
        } catch (IOException e) {
            throw unavailable(Verdict.MAY_HAVE_RUN, "no response from the log service at " + base, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw unavailable(Verdict.MAY_HAVE_RUN, "interrupted while waiting for the log service", e);
        }
    }

    /** After a 4xx status or 503 the record was not stored; after any other status it may have been stored. */
    private static MasticcroftException statusFailure(int status) {
        boolean rejected = status >= CLIENT_ERROR && status < SERVER_ERROR || status == UNAVAILABLE;
        return unavailable(
                rejected ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
                "the log service responded with status " + status,
                null);
    }

    private static <T> T parse(byte[] body, Class<T> type) {
        try {
            return Objects.requireNonNull(JSON.readValue(body, type));
        } catch (IOException | RuntimeException e) {
            throw unavailable(Verdict.MAY_HAVE_RUN, "the response of the log service is malformed", e);
        }
    }

    private static MasticcroftException unavailable(Verdict verdict, String message, Exception cause) {
        return MasticcroftException.of(ErrorCode.LOG_UNAVAILABLE, verdict, message, cause);
    }

    @JsonIgnoreProperties(ignoreUnknown = true)
    private record AppendResponse(
            @JsonProperty(value = "offset", required = true) long offset) {}

    @JsonIgnoreProperties(ignoreUnknown = true)
    private record ReadResponse(
            @JsonProperty(value = "earliest", required = true)
            long earliest,

            @JsonProperty(value = "next", required = true) long next,

            @JsonProperty(value = "records", required = true)
            List<RecordJson> records) {
        private ReadResponse {
            records = List.copyOf(records);
        }
    }

    @JsonIgnoreProperties(ignoreUnknown = true)
    private record RecordJson(
            @JsonProperty(value = "offset", required = true) long offset,

            @JsonProperty(value = "time_ms", required = true)
            long timeMillis,

            @JsonProperty(value = "data", required = true) byte[] data) {
        private RecordJson {
            Objects.requireNonNull(data, "data");
        }

        private LogRecord toRecord() {
            return new LogRecord(offset, Instant.ofEpochMilli(timeMillis), data);
        }
    }
}
