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
 * Sends the generated requests at their times, however long earlier ones take, and waits for all outcomes at the end.
 */
public final class LoadDriver {
    private static final int CLIENT_THREADS = 8;

    private final LoadSettings settings;
    private final String run;
    private final RequestGenerator generator;
    private final LoadSummary summary = LoadSummary.empty();
    private final Phaser outstanding = new Phaser(1);
    private final ScheduledExecutorService scheduler;
    private final HttpClient client;
    private final Caller caller;

    private LoadDriver(LoadSettings settings, String run, HistoryWriter history) {
        this.settings = settings;
        this.run = run;
        this.generator = RequestGenerator.of(settings, run);
        this.scheduler = Executors.newScheduledThreadPool(2, daemons());
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(settings.timeout())
                .executor(Executors.newFixedThreadPool(CLIENT_THREADS, daemons()))
                .build();
        this.caller = Caller.of(client, scheduler, history, settings.timeout());
    }

    /** Creates a driver; {@code run} makes the ids of this run unique in the history. */
    public static LoadDriver of(LoadSettings settings, String run, HistoryWriter history) {
        return new LoadDriver(settings, run, history);
    }

    /** Runs the load and returns its summary. */
    public LoadSummary run() throws InterruptedException {
        WarmUp.run(client);
        long start = System.nanoTime();
        PlannedRequest next = generator.next();
        while (next.atNanos() < settings.duration().toNanos()) {
            TimeUnit.NANOSECONDS.sleep(start + next.atNanos() - System.nanoTime());
            summary.addScheduleLag((System.nanoTime() - start - next.atNanos()) / 1e6);
            start(next);
            next = generator.next();
        }
        outstanding.arriveAndAwaitAdvance();
        scheduler.shutdownNow();
        return summary;
    }

    private void start(PlannedRequest planned) {
        String key = planned.kind() == Kind.ORDER ? System.currentTimeMillis() / 1000 + "." + planned.token() : "";
        String id = planned.token() + "/0";
        CompletableFuture<Outcome> first = send(planned, id, planned.entry(), key, "");
        planned.copy().ifPresent(copy -> {
            outstanding.register();
            scheduler.schedule(
                    () -> {
                        send(planned, planned.token() + "/1", copy.entry(), key, id);
                        outstanding.arriveAndDeregister();
                    },
                    copy.afterMillis(),
                    TimeUnit.MILLISECONDS);
        });
        if (planned.kind() == Kind.ORDER && settings.resendUnknown()) {
            outstanding.register();
            first.thenAccept(outcome -> {
                if (isUnknown(outcome)) {
                    send(planned, planned.token() + "/2", otherEntry(planned.entry()), key, id);
                }
                outstanding.arriveAndDeregister();
            });
        }
    }

    private CompletableFuture<Outcome> send(PlannedRequest planned, String id, String entry, String key, String of) {
        outstanding.register();
        return caller.send(planned, id, entry, key, of).thenApply(outcome -> {
            summary.add(planned.caller(), planned.kind(), outcome);
            outstanding.arriveAndDeregister();
            return outcome;
        });
    }

    private static boolean isUnknown(Outcome outcome) {
        return !outcome.error().isEmpty() || outcome.verdict().equals("MAY_HAVE_RUN");
    }

    private String otherEntry(String entry) {
        int index = settings.entries().indexOf(entry);
        return settings.entries().get((index + 1) % settings.entries().size());
    }

    private ThreadFactory daemons() {
        return task -> {
            Thread thread = new Thread(task, "load-" + run);
            thread.setDaemon(true);
            return thread;
        };
    }
}
