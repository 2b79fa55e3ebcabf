package org.masticcroft.gateway.fleet;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;

/** Reads a directory as a whole and then follows its changes. Used on the event loop only. */
public final class DirectoryFollower {
    /** Pause after a failed read; refused calls are priced, too. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(300);

    /** Longest pause after several failed reads; within it a returned store is noticed. */
    private static final Duration LONGEST_PAUSE = Duration.ofMillis(900);

    private final Directory directory;
    private final FleetStore store;
    private final EventLoop loop;
    private final TimeSource time;
    private final Duration wait;
    private final Listener listener;
    private final DecisionLog log;
    private long next = -1;
    private int failures;
    private int generation;

    private DirectoryFollower(
            Directory directory,
            FleetStore store,
            EventLoop loop,
            TimeSource time,
            Duration wait,
            Listener listener,
            DecisionLog log) {
        this.directory = directory;
        this.store = store;
        this.loop = loop;
        this.time = time;
        this.wait = wait;
        this.listener = listener;
        this.log = log;
    }

    /**
     * Creates a follower.
     *
     * @param directory the log to follow
     * @param store where it lies
     * @param loop event loop
     * @param time clock
     * @param wait how long the store may wait for a change
     * @param listener receives the changes
     * @param log decision log
     */
    public static DirectoryFollower of(
            Directory directory,
            FleetStore store,
            EventLoop loop,
            TimeSource time,
            Duration wait,
            Listener listener,
            DecisionLog log) {
        return new DirectoryFollower(
                Objects.requireNonNull(directory, "directory"),
                Objects.requireNonNull(store, "store"),
                loop,
                time,
                wait,
                Objects.requireNonNull(listener, "listener"),
                log);
    }

    /** Starts to read. */
    public void start() {
        read();
    }

    /** Gives up the read in progress and reads again at once. */
    public void restart() {
        generation++;
        read();
    }

    private void read() {
        int own = generation;
        long sent = time.nanoTime();
        if (next < 0) {
            store.readAll(directory, reply -> received(reply, sent, own, true));
        } else {
            store.readFrom(directory, next, wait, reply -> received(reply, sent, own, false));
        }
    }

    private void received(DirectoryReply reply, long sent, int own, boolean whole) {
        if (own != generation) {
            return;
        }
        switch (reply.status()) {
            case READ -> applied(reply, sent, whole);
            case EXPIRED -> {
                log.write(Event.DIRECTORY_EXPIRED, "directory", directory, "from", next);
                next = -1;
                read();
            }
            default -> failed(reply.reason());
        }
    }

    private void applied(DirectoryReply reply, long sent, boolean whole) {
        if (failures > 0) {
            log.write(Event.STORE_REGAINED, "directory", directory, "failed_reads", failures);
        }
        boolean regained = failures > 0;
        failures = 0;
        next = reply.nextOffset();
        if (regained) {
            listener.storeRecovered(directory);
        }
        if (whole) {
            listener.snapshot(directory, reply.changes());
        } else {
            listener.changed(directory, reply.changes());
        }
        // A read without a record waited the whole time, so nothing newer existed at its end.
        long waited = whole || !reply.changes().isEmpty() ? 0 : Math.min(wait.toNanos(), time.nanoTime() - sent);
        listener.confirmed(directory, sent + waited);
        boolean early = !whole && reply.changes().isEmpty() && time.nanoTime() - sent < wait.toNanos() / 2;
        if (early) {
            readAfter(RETRY_PAUSE.toMillis());
        } else {
            read();
        }
    }

    private void failed(String reason) {
        failures++;
        if (failures == 1) {
            log.write(Event.STORE_LOST, "directory", directory, "reason", reason);
        }
        long pause = Math.min(LONGEST_PAUSE.toMillis(), RETRY_PAUSE.toMillis() * failures);
        readAfter(pause);
    }

    private void readAfter(long pauseMillis) {
        int own = generation;
        loop.schedule(
                () -> {
                    if (own == generation) {
                        read();
                    }
                },
                pauseMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Receives what a directory holds. */
    public interface Listener {
        /** Receives all records, after the directory was read as a whole. */
        void snapshot(Directory directory, List<FleetChange> changes);

        /** Receives records that were added. */
        void changed(Directory directory, List<FleetChange> changes);

        /** Is told that nothing newer existed at a monotonic time in nanoseconds. */
        void confirmed(Directory directory, long nanos);

        /** Is told that the store answers again, before the records of the first answer are passed. */
        default void storeRecovered(Directory directory) {}
    }
}
