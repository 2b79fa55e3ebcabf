package org.masticcroft.ports.instance;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;

/** {@link InstanceList} over HTTP. Keeps the last list that was read successfully. */
public final class HttpInstanceList implements InstanceList, AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);
    private static final int OK = 200;
    private static final ObjectMapper JSON = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private final URI uri;
    private final HttpClient client;
    private final ScheduledExecutorService scheduler;
    private volatile List<Instance> instances = List.of();

    /** Whether the last read succeeded; guarded by the monitor of this object. */
    private boolean reachable = true;

    private HttpInstanceList(URI base) {
        this.uri = URI.create(base.toString().replaceFirst("/+$", "") + "/instances");
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
        this.scheduler = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "instance-list");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Creates a client of the instance list at {@code base}. It reads nothing until it is started or refreshed. */
    public static HttpInstanceList of(URI base) {
        return new HttpInstanceList(Objects.requireNonNull(base, "base"));
    }

    @Override
    public List<Instance> instances() {
        return instances;
    }

    /** Starts to poll: reads the list immediately and then about once a second. */
    public void start() {
        scheduler.scheduleWithFixedDelay(this::refresh, 0, POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Reads the list now; returns whether that succeeded. */
    public synchronized boolean refresh() {
        try {
            instances = fetch();
            reachable = true;
        } catch (IOException | RuntimeException e) {
            if (reachable) {
                EventLog.warn(Event.INSTANCE_LIST_UNAVAILABLE, "uri", uri, "reason", e);
            }
            reachable = false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            reachable = false;
        }
        return reachable;
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }

    private List<Instance> fetch() throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(uri).timeout(RESPONSE_TIMEOUT).GET().build();
        HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
        if (response.statusCode() != OK) {
            throw new IOException("the instance list responded with status " + response.statusCode());
        }
        return JSON.readValue(response.body(), Listing.class).instances();
    }

    @JsonIgnoreProperties(ignoreUnknown = true)
    private record Listing(
            @JsonProperty(value = "instances", required = true)
            List<Instance> instances) {
        private Listing {
            instances = List.copyOf(instances);
        }
    }
}
