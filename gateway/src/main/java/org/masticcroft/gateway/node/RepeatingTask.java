package org.masticcroft.gateway.node;

import io.netty.channel.EventLoop;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.event.Event;

/** A task that an event loop runs at a fixed rate. A run that fails is logged, and the next one follows. */
final class RepeatingTask {
    private final String name;
    private final Runnable task;
    private final DecisionLog log;

    private RepeatingTask(String name, Runnable task, DecisionLog log) {
        this.name = name;
        this.task = task;
        this.log = log;
    }

    /**
     * Creates a task that is not scheduled yet.
     *
     * @param name name of the task in the log
     * @param task the task
     * @param log receives the failures
     */
    static RepeatingTask of(String name, Runnable task, DecisionLog log) {
        return new RepeatingTask(
                Objects.requireNonNull(name, "name"),
                Objects.requireNonNull(task, "task"),
                Objects.requireNonNull(log, "log"));
    }

    /** Schedules the task. The event loop itself would end it at the first exception. */
    void schedule(EventLoop loop, long initialDelayMillis, long intervalMillis) {
        loop.scheduleAtFixedRate(this::run, initialDelayMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    private void run() {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError e) {
            log.write(Event.INTERNAL_ERROR, e, "component", name);
        }
    }
}
