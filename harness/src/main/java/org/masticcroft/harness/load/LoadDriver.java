package org.masticcroft.harness.load;

import java.net.http.HttpClient;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.Phaser;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import org.masticcroft.harness.history.HistoryWriter;
import org.masticcroft.harness.history.Kind;
import org.masticcroft.harness.history.Outcome;

/**
 * Sends the generated requests at their scheduled times, regardless of how long earlier ones take (open loop), and
 * waits for all outcomes at the end.
 */
public final class LoadDriver {
    private static final int CLIENT_THREADS = 8;

    private final LoadSettings settings;
    private final String runId;
    private final RequestGenerator generator;
    private final LoadSummary summary = LoadSummary.empty();
    private final Phaser outstandingTasks = new Phaser(1);
    private final ScheduledExecutorService scheduler;
    private final HttpClient client;
    private final Caller caller;

    private LoadDriver(LoadSettings settings, String runId, HistoryWriter history) {
        this.settings = settings;
        this.runId = runId;
        this.generator = RequestGenerator.of(settings, runId);
        this.scheduler = Executors.newScheduledThreadPool(2, daemonThreads());
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(settings.timeout())
                .executor(Executors.newFixedThreadPool(CLIENT_THREADS, daemonThreads()))
                .build();
        this.caller = Caller.of(client, scheduler, history, settings.timeout());
    }

    /** Creates a driver; {@code runId} makes the request ids of this run unique in the history. */
    public static LoadDriver of(LoadSettings settings, String runId, HistoryWriter history) {
        return new LoadDriver(settings, runId, history);
    }

    /** Runs the load and returns its summary. */
    public LoadSummary run() throws InterruptedException {
        WarmUp.run(client);
        long startNanos = System.nanoTime();
        PlannedRequest next = generator.next();
        while (next.sendAtNanos() < settings.duration().toNanos()) {
            TimeUnit.NANOSECONDS.sleep(startNanos + next.sendAtNanos() - System.nanoTime());
            summary.addScheduleLag((System.nanoTime() - startNanos - next.sendAtNanos()) / 1e6);
            sendWithCopies(next);
            next = generator.next();
        }
        outstandingTasks.arriveAndAwaitAdvance();
        scheduler.shutdownNow();
        return summary;
    }

    /**
     * Sends a request and, if it is an order, its copies. The request ids end in {@code /0} for the first copy,
     * {@code /1} for the planned second copy, and {@code /2} for the copy sent because the outcome of the
     * first is unknown.
     */
    private void sendWithCopies(PlannedRequest planned) {
        String idempotencyKey =
                planned.kind() == Kind.ORDER ? System.currentTimeMillis() / 1000 + "." + planned.token() : "";
        String firstId = planned.token() + "/0";
        CompletableFuture<Outcome> firstOutcome = send(planned, firstId, planned.entry(), idempotencyKey, "");
        planned.copy().ifPresent(copy -> {
            outstandingTasks.register();
            scheduler.schedule(
                    () -> {
                        send(planned, planned.token() + "/1", copy.entry(), idempotencyKey, firstId);
                        outstandingTasks.arriveAndDeregister();
                    },
                    copy.afterMillis(),
                    TimeUnit.MILLISECONDS);
        });
        if (planned.kind() == Kind.ORDER && settings.resendUnknown()) {
            outstandingTasks.register();
            firstOutcome.thenAccept(outcome -> {
                if (isOutcomeUnknown(outcome)) {
                    send(planned, planned.token() + "/2", otherEntry(planned.entry()), idempotencyKey, firstId);
                }
                outstandingTasks.arriveAndDeregister();
            });
        }
    }

    private CompletableFuture<Outcome> send(
            PlannedRequest planned, String id, String entry, String idempotencyKey, String resendOf) {
        outstandingTasks.register();
        return caller.send(planned, id, entry, idempotencyKey, resendOf).thenApply(outcome -> {
            summary.add(planned.caller(), planned.kind(), outcome);
            outstandingTasks.arriveAndDeregister();
            return outcome;
        });
    }

    private static boolean isOutcomeUnknown(Outcome outcome) {
        return !outcome.error().isEmpty() || outcome.verdict().equals("MAY_HAVE_RUN");
    }

    private String otherEntry(String entry) {
        int index = settings.entries().indexOf(entry);
        return settings.entries().get((index + 1) % settings.entries().size());
    }

    private ThreadFactory daemonThreads() {
        return task -> {
            Thread thread = new Thread(task, "load-" + runId);
            thread.setDaemon(true);
            return thread;
        };
    }
}
