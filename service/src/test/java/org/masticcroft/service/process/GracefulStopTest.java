package org.masticcroft.service.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.container.Suspended;
import jakarta.ws.rs.core.Response;
import java.io.IOException;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.lifecycle.Role;
import org.masticcroft.service.http.HttpSettings;
import org.masticcroft.service.http.ServiceApplication;

class GracefulStopTest {
    private static final int CALLERS = 8;

    @Nested
    class Requests {
        /** Guards against connections that break because their request arrives while the process stops. */
        @Test
        void thatArriveDuringTheStopAreAnsweredOrNotAccepted() throws Exception {
            FakeRole role = new FakeRole();
            int port = freePort();
            ServiceApplication application = ServiceApplication.of(
                    new HttpSettings("127.0.0.1", port, freePort(), 32),
                    new MetricRegistry(),
                    role,
                    List.of(new Resource(role)),
                    List.of());
            application.start();
            Callers callers = new Callers(URI.create("http://127.0.0.1:" + port + "/work"));
            callers.start();
            assertThat(role.answeredRequests.await(10, TimeUnit.SECONDS)).isTrue();
            GracefulStop.of(role, application::stop, List.of(), Duration.ofSeconds(10))
                    .run();
            callers.join();
            assertThat(role.refusedInDrain)
                    .as("a request was refused before the drain ended")
                    .isTrue();
            assertThat(callers.brokenConnections).isEmpty();
            assertThat(callers.statuses).contains(200).containsOnly(200, 503);
        }

        private static int freePort() throws IOException {
            try (ServerSocket socket = new ServerSocket(0)) {
                return socket.getLocalPort();
            }
        }
    }

    /** Callers that send each request on a new connection until the server accepts no more connections. */
    private static final class Callers {
        private final URI uri;
        private final Queue<String> brokenConnections = new ConcurrentLinkedQueue<>();
        private final Queue<Integer> statuses = new ConcurrentLinkedQueue<>();
        private final List<Thread> threads = new ArrayList<>();

        private Callers(URI uri) {
            this.uri = uri;
        }

        void start() {
            for (int i = 0; i < CALLERS; i++) {
                Thread thread = new Thread(this::call);
                thread.start();
                threads.add(thread);
            }
        }

        void join() throws InterruptedException {
            for (Thread thread : threads) {
                thread.join();
            }
        }

        private void call() {
            try {
                while (true) {
                    HttpRequest request = HttpRequest.newBuilder(uri)
                            .POST(HttpRequest.BodyPublishers.ofString("x"))
                            .build();
                    statuses.add(HttpClient.newHttpClient()
                            .send(request, HttpResponse.BodyHandlers.ofString())
                            .statusCode());
                }
            } catch (ConnectException e) {
                // The server no longer accepts connections, so this caller ends.
            } catch (IOException e) {
                brokenConnections.add(String.valueOf(e));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Resource that responds on the worker threads of the role, and refuses requests while the role drains. */
    @Path("/work")
    public static final class Resource {
        private final FakeRole role;

        Resource(FakeRole role) {
            this.role = role;
        }

        @POST
        public void work(@Suspended AsyncResponse response, String body) {
            role.run(response);
        }
    }

    /** Role that drains until it has refused a request, so that requests always arrive during the stop. */
    private static final class FakeRole implements Role {
        private final ExecutorService workers = Executors.newFixedThreadPool(4);
        private final AtomicInteger running = new AtomicInteger();
        private final CountDownLatch answeredRequests = new CountDownLatch(50);
        private final CountDownLatch refusedRequest = new CountDownLatch(1);
        private volatile boolean draining;
        private volatile boolean refusedInDrain;

        void run(AsyncResponse response) {
            running.incrementAndGet();
            workers.execute(() -> {
                boolean refuse = draining;
                response.resume(Response.status(refuse ? 503 : 200).build());
                running.decrementAndGet();
                answeredRequests.countDown();
                if (refuse) {
                    refusedRequest.countDown();
                }
            });
        }

        @Override
        public void start() {}

        @Override
        public boolean ready() {
            return !draining;
        }

        @Override
        public void beginDrain() {
            draining = true;
        }

        @Override
        public boolean awaitDrained(Duration deadline) {
            try {
                refusedInDrain = refusedRequest.await(deadline.toMillis(), TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            // Also true if no request was refused: the stop then continues as usual, and the test asserts the flag.
            return true;
        }

        @Override
        public void close() {
            workers.shutdown();
        }
    }
}
