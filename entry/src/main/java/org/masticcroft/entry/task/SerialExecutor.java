package org.masticcroft.entry.task;

import java.util.ArrayDeque;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.Executor;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;

/** Runs tasks one at a time, in submission order, on the threads of another executor. */
public final class SerialExecutor implements Executor {
    private final Executor workers;
    private final Queue<Runnable> pending = new ArrayDeque<>();
    private boolean running;

    private SerialExecutor(Executor workers) {
        this.workers = workers;
    }

    /** Creates an executor that runs its tasks on {@code workers}. */
    public static SerialExecutor of(Executor workers) {
        return new SerialExecutor(Objects.requireNonNull(workers, "workers"));
    }

    @Override
    public void execute(Runnable task) {
        synchronized (this) {
            pending.add(Objects.requireNonNull(task, "task"));
            if (running) {
                return;
            }
            running = true;
        }
        workers.execute(this::drain);
    }

    private void drain() {
        for (Runnable task = next(); task != null; task = next()) {
            try {
                task.run();
            } catch (RuntimeException e) {
                EventLog.error(Event.INTERNAL_ERROR, e, "where", "request");
            }
        }
    }

    private synchronized Runnable next() {
        Runnable task = pending.poll();
        running = task != null;
        return task;
    }
}
