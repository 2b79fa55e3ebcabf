package org.masticcroft.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.masticcroft.standins.fault.Faults;

/**
 * HTTP server of one stand-in on the loopback address. It serves {@code GET /healthz}, {@code GET} and {@code POST
 * /faults}, {@code GET /stats} and the added routes; the first route that matches handles a call.
 */
public final class StandInServer implements AutoCloseable {
    /** Maximum number of concurrent calls; each call holds a thread, long polls and running completions included. */
    private static final int MAX_CALLS = 400;

    private static final long IDLE_THREAD_SECONDS = 30;
    private static final int BACKLOG = 512;

    private final List<Route> routes = new ArrayList<>();
    private final HttpServer server;
    private final ThreadPoolExecutor pool;

    private StandInServer(HttpServer server, ThreadPoolExecutor pool) {
        this.server = server;
        this.pool = pool;
    }

    /**
     * Creates a server bound to 127.0.0.1.
     *
     * @param port the port, or 0 for any free one
     * @param stats what {@code GET /stats} returns
     */
    public static StandInServer of(int port, Faults faults, Supplier<JsonNode> stats) {
        return of("127.0.0.1", port, faults, stats);
    }

    /** Creates a server bound to a loopback address, as {@link #of(int, Faults, Supplier)} does. */
    public static StandInServer of(String ip, int port, Faults faults, Supplier<JsonNode> stats) {
        try {
            HttpServer http = HttpServer.create(new InetSocketAddress(InetAddress.getByName(ip), port), BACKLOG);
            StandInServer server = new StandInServer(http, newPool());
            http.setExecutor(server.pool);
            http.createContext("/", server::serve);
            server.addCommonRoutes(faults, stats);
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on port " + port, e);
        }
    }

    /** Adds a route. A path template has the form {@code /a/{b}/c}; {@code *} matches any method or any path. */
    public StandInServer route(String method, String template, Handler handler) {
        routes.add(Route.of(method, template, handler));
        return this;
    }

    /** Starts accepting calls. */
    public StandInServer start() {
        server.start();
        return this;
    }

    /** Returns the bound port. */
    public int port() {
        return server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
        pool.shutdownNow();
    }

    private void addCommonRoutes(Faults faults, Supplier<JsonNode> stats) {
        route("GET", "/healthz", call -> call.respond(200, Json.object().put("status", "ok")));
        route("GET", "/stats", call -> call.respond(200, stats.get()));
        route("GET", "/faults", call -> call.respond(200, faults.toJson()));
        route("POST", "/faults", call -> {
            try {
                faults.set(call.jsonBody());
            } catch (IllegalArgumentException e) {
                throw HttpFailure.of(400, "malformed", e.getMessage());
            }
            call.respond(200, faults.toJson());
        });
    }

    private void serve(HttpExchange exchange) {
        String path = exchange.getRequestURI().getRawPath();
        for (Route route : routes) {
            Optional<Map<String, String>> parameters = route.match(exchange.getRequestMethod(), path);
            if (parameters.isPresent()) {
                handle(route.handler(), Call.of(exchange, parameters.get()));
                return;
            }
        }
        handle(call -> call.respondError(404, "not_found", path), Call.of(exchange, Map.of()));
    }

    private static void handle(Handler handler, Call call) {
        try {
            handler.handle(call);
        } catch (HttpFailure e) {
            respondFailure(call, e.status(), e.code(), e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            call.drop();
        } catch (IOException e) {
            // The client has disconnected, so no response can be sent.
            call.drop();
        } catch (RuntimeException e) {
            System.err.println("handling " + call.method() + " " + call.target() + " failed: " + e);
            respondFailure(call, 500, "internal", e.toString());
        }
    }

    private static void respondFailure(Call call, int status, String code, String message) {
        try {
            if (call.hasResponded()) {
                call.drop();
            } else {
                call.body();
                call.respondError(status, code, message);
            }
        } catch (IOException e) {
            call.drop();
        }
    }

    private static ThreadPoolExecutor newPool() {
        AtomicInteger number = new AtomicInteger();
        return new ThreadPoolExecutor(
                4, MAX_CALLS, IDLE_THREAD_SECONDS, TimeUnit.SECONDS, new SynchronousQueue<>(), task -> {
                    Thread thread = new Thread(task, "call-" + number.incrementAndGet());
                    thread.setDaemon(true);
                    return thread;
                });
    }
}
