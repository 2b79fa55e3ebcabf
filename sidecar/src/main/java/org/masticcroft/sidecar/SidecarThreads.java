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
    /** A load may block two reconciliations at a time; state polls, deadlines and fetching need threads meanwhile. */
    private static final int TIMER_THREADS = 5;

    private static final int KEEP_ALIVE_SECONDS = 30;

    private final ScheduledExecutorService timers;
    private final ExecutorService requests;
    private final ExecutorService control;
    private final ExecutorService transfers;
    private final ExecutorService uploads;

    SidecarThreads(SidecarSettings.Limits limits) {
        timers = new ScheduledThreadPoolExecutor(TIMER_THREADS, threadFactory("sidecar-timer-%d"));
        requests = new ThreadPoolExecutor(
                0,
                limits.maxSlots(),
                KEEP_ALIVE_SECONDS,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                threadFactory("sidecar-request-%d"));
        control = fixedPool(CONTROL_THREADS, "sidecar-control-%d");
        transfers = fixedPool(ChunkFetcher.MAX_IN_TRANSIT, "sidecar-fetch-%d");
        uploads = fixedPool(limits.uploadSlots(), "sidecar-upload-%d");
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

    /** Runs a task at once and again with this delay after each run; a failure is logged and ends only that run. */
    void scheduleRepeatedly(Duration interval, Runnable task) {
        timers.scheduleWithFixedDelay(loggingFailures(task), 0, interval.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Runs a task once in the background, unless the pools are closed. */
    void submit(Runnable task) {
        if (!timers.isShutdown()) {
            timers.execute(loggingFailures(task));
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

    private static Runnable loggingFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                EventLog.error(Event.INTERNAL_ERROR, e, "what", "background task");
            }
        };
    }

    private static ExecutorService fixedPool(int threads, String name) {
        ThreadPoolExecutor pool = new ThreadPoolExecutor(
                threads,
                threads,
                KEEP_ALIVE_SECONDS,
                TimeUnit.SECONDS,
                new LinkedBlockingQueue<>(),
                threadFactory(name));
        pool.allowCoreThreadTimeOut(true);
        return pool;
    }

    private static ThreadFactory threadFactory(String format) {
        return new ThreadFactoryBuilder().setNameFormat(format).setDaemon(true).build();
    }
}
