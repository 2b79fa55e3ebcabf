package org.masticcroft.sidecar;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.sidecar.fetch.ChunkFetcher;

/** The bounded thread pools of a sidecar. */
final class SidecarThreads implements AutoCloseable {
    private static final int CONTROL_THREADS = 4;
    /** Reconciliation may block on a load, also twice; state, deadlines and fetching need threads meanwhile. */
    private static final int TIMER_THREADS = 5;

    private static final int KEEP_ALIVE_SECONDS = 30;

    private final ScheduledExecutorService timers;
    private final ExecutorService requests;
    private final ExecutorService control;
    private final ExecutorService transfers;
    private final ExecutorService uploads;

    SidecarThreads(SidecarSettings.Limits limits) {
        timers = new ScheduledThreadPoolExecutor(TIMER_THREADS, named("sidecar-timer-%d"));
        requests = new ThreadPoolExecutor(
                0,
                limits.maxSlots(),
                KEEP_ALIVE_SECONDS,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                named("sidecar-request-%d"));
        control = fixed(CONTROL_THREADS, "sidecar-control-%d");
        transfers = fixed(ChunkFetcher.MAX_IN_TRANSIT, "sidecar-fetch-%d");
        uploads = fixed(limits.uploadSlots(), "sidecar-upload-%d");
    }

    ExecutorService requests() {
        return requests;
    }

    ExecutorService control() {
        return control;
    }

    ExecutorService transfers() {
        return transfers;
    }

    ExecutorService uploads() {
        return uploads;
    }

    /** Runs a task again and again; a failure is logged and does not end it. */
    void every(Duration interval, Runnable task) {
        timers.scheduleWithFixedDelay(guarded(task), 0, interval.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Runs a task once, soon. */
    void soon(Runnable task) {
        if (!timers.isShutdown()) {
            timers.execute(guarded(task));
        }
    }

    @Override
    public void close() {
        timers.shutdownNow();
        requests.shutdownNow();
        control.shutdownNow();
        transfers.shutdownNow();
        uploads.shutdownNow();
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                EventLog.error(Event.INTERNAL_ERROR, e, "what", "background task");
            }
        };
    }

    private static ExecutorService fixed(int threads, String name) {
        ThreadPoolExecutor pool = new ThreadPoolExecutor(
                threads, threads, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), named(name));
        pool.allowCoreThreadTimeOut(true);
        return pool;
    }

    private static ThreadFactory named(String format) {
        return new ThreadFactoryBuilder().setNameFormat(format).setDaemon(true).build();
    }
}
