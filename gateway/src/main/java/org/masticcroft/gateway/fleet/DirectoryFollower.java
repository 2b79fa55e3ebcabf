package org.masticcroft.gateway.fleet;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;

/** Reads all records of a directory and then follows its changes. Used on the event loop only. */
public final class DirectoryFollower {
    /**
     * Delay after a failed read. The end of an outage must be noticed soon, since removals of upstreams that follow it
     * are planned work; the store charges for refused calls, too.
     */
    private static final Duration RETRY_DELAY = Duration.ofMillis(400);

    /** Delay after an unexpected failure; the store charges for the full read that follows. */
    private static final Duration FAILURE_DELAY = Duration.ofMillis(900);

    /** Least time for which records may have been on their way that counts to their age. */
    private static final Duration SLOW_TRANSFER = Duration.ofMillis(50);

    private final Directory directory;
    private final FleetStore store;
    private final EventLoop loop;
    private final TimeSource time;
    private final Timing timing;
    private final Listener listener;
    private final DecisionLog log;
    private long nextOffset = -1;
    private int failedReads;
    private OptionalLong missedSinceNanos = OptionalLong.empty();
    private OptionalLong lastConfirmedNanos = OptionalLong.empty();
    private Duration previousTransferTime = Duration.ZERO;
    private boolean restored;
    private boolean started;
    private int generation;

    private DirectoryFollower(
            Directory directory,
            FleetStore store,
            EventLoop loop,
            TimeSource time,
            Timing timing,
            Listener listener,
            DecisionLog log) {
        this.directory = directory;
        this.store = store;
        this.loop = loop;
        this.time = time;
        this.timing = timing;
        this.listener = listener;
        this.log = log;
    }

    /**
     * Creates a follower.
     *
     * @param directory the directory to follow
     * @param store store that holds the directory
     * @param loop event loop
     * @param time clock
     * @param timing times between reads
     * @param listener receives the changes
     * @param log decision log
     */
    public static DirectoryFollower of(
            Directory directory,
            FleetStore store,
            EventLoop loop,
            TimeSource time,
            Timing timing,
            Listener listener,
            DecisionLog log) {
        DirectoryFollower follower = new DirectoryFollower(
                Objects.requireNonNull(directory, "directory"),
                Objects.requireNonNull(store, "store"),
                loop,
                time,
                Objects.requireNonNull(timing, "timing"),
                Objects.requireNonNull(listener, "listener"),
                log);
        store.era().addListener(follower::readAgainAfterRestore);
        return follower;
    }

    /** Starts to read the directory. */
    public void start() {
        started = true;
        read();
    }

    /** Ignores the reply of the read in progress and starts another read at once. */
    public void restart() {
        generation++;
        read();
    }

    /**
     * Reads the whole directory after the store has come back from an older copy, in which offsets are assigned again.
     * The reply of the read in progress is ignored, also if it is of the new era, since its offset is of the old one.
     */
    private void readAgainAfterRestore(long previousEra, long era) {
        log.write(Event.STORE_RESTORED, "directory", directory, "era", era, "previous", previousEra);
        restored = true;
        nextOffset = -1;
        if (lastConfirmedNanos.isPresent()) {
            missedSinceNanos = lastConfirmedNanos;
        }
        if (started) {
            restart();
        }
    }

    /** Returns the era of the store; 0 if no response has stated it. */
    public long storeEra() {
        return store.era().current().orElse(0);
    }

    private void read() {
        int readGeneration = generation;
        long startNanos = time.nanoTime();
        try {
            if (nextOffset < 0) {
                store.readAll(directory, reply -> handleReply(reply, startNanos, readGeneration, Optional.empty()));
            } else {
                // A read that waits for a change would notice the end of an outage only at the end of its wait.
                Duration wait = failedReads > 0 ? Duration.ZERO : timing.maxWait();
                store.readFrom(
                        directory,
                        nextOffset,
                        wait,
                        reply -> handleReply(reply, startNanos, readGeneration, Optional.of(wait)));
            }
        } catch (RuntimeException e) {
            readAllAfterFailure(e);
        }
    }

    /** Handles the reply of a read; a read of the whole directory has no wait. */
    private void handleReply(DirectoryReply reply, long startNanos, int readGeneration, Optional<Duration> wait) {
        if (readGeneration != generation) {
            return;
        }
        switch (reply.status()) {
            case READ -> applyReply(reply, startNanos, wait);
            case EXPIRED -> {
                log.write(Event.DIRECTORY_EXPIRED, "directory", directory, "from", nextOffset);
                missedSinceNanos = OptionalLong.of(startNanos);
                nextOffset = -1;
                read();
            }
            default -> handleFailure(reply.reason(), startNanos);
        }
    }

    private void applyReply(DirectoryReply reply, long startNanos, Optional<Duration> wait) {
        if (failedReads > 0) {
            log.write(Event.STORE_REGAINED, "directory", directory, "failed_reads", failedReads);
        }
        boolean recovered = failedReads > 0;
        failedReads = 0;
        nextOffset = reply.nextOffset();
        // A read without records lasted for the whole wait, so no newer record existed at its end.
        boolean unchanged = wait.isPresent() && reply.changes().isEmpty();
        long elapsedNanos = time.nanoTime() - startNanos;
        long waitNanos = wait.orElse(Duration.ZERO).toNanos();
        long confirmedNanos = startNanos + (unchanged ? Math.min(waitNanos, elapsedNanos) : 0);
        if (missedSinceNanos.isEmpty() && wait.isPresent()) {
            missedSinceNanos = slowSince(reply.transferTime(), Duration.ofNanos(elapsedNanos));
        }
        previousTransferTime = wait.isEmpty() ? Duration.ofNanos(elapsedNanos) : reply.transferTime();
        try {
            notifyListener(reply, wait.isEmpty(), recovered, confirmedNanos);
        } catch (RuntimeException | StackOverflowError e) {
            // The changes may be applied in part, and a full read contains them all.
            readAllAfterFailure(e);
            return;
        }
        if (!unchanged) {
            readAfterDelay(timing.changeInterval().toMillis());
        } else if (elapsedNanos < waitNanos / 2) {
            readAfterDelay(RETRY_DELAY.toMillis());
        } else {
            read();
        }
    }

    /**
     * Returns the time since when the records of a reply may have been on their way, if that is long. What was written
     * while the reply before was received comes with this one, unless this read has waited for a record.
     *
     * @param transferTime time for which the reply was received
     * @param elapsed time since the read was sent
     */
    private OptionalLong slowSince(Duration transferTime, Duration elapsed) {
        boolean waited = elapsed.compareTo(previousTransferTime.multipliedBy(2)) > 0;
        Duration sincePrevious = waited ? Duration.ZERO : previousTransferTime.plus(elapsed);
        Duration underWay = transferTime.compareTo(sincePrevious) > 0 ? transferTime : sincePrevious;
        return underWay.compareTo(SLOW_TRANSFER) < 0
                ? OptionalLong.empty()
                : OptionalLong.of(time.nanoTime() - underWay.toNanos());
    }

    private void notifyListener(DirectoryReply reply, boolean fullRead, boolean recovered, long confirmedNanos) {
        if (recovered) {
            listener.storeRecovered(directory);
        }
        if (restored) {
            listener.storeRestored(directory);
            restored = false;
        }
        missedSinceNanos.ifPresent(nanos -> listener.recordsMissedSince(directory, nanos));
        missedSinceNanos = OptionalLong.empty();
        if (fullRead) {
            listener.snapshot(directory, reply.changes());
        } else {
            listener.changed(directory, reply.changes());
        }
        listener.confirmed(directory, confirmedNanos);
        lastConfirmedNanos = OptionalLong.of(confirmedNanos);
    }

    /** Reads the whole directory after a delay, so that no failure ends the reads. */
    private void readAllAfterFailure(Throwable failure) {
        log.write(Event.INTERNAL_ERROR, failure, "component", "directory-follower", "directory", directory);
        nextOffset = -1;
        readAfterDelay(FAILURE_DELAY.toMillis());
    }

    private void handleFailure(String reason, long startNanos) {
        failedReads++;
        missedSinceNanos = OptionalLong.of(startNanos);
        if (failedReads == 1) {
            log.write(Event.STORE_LOST, "directory", directory, "reason", reason);
        }
        readAfterDelay(RETRY_DELAY.toMillis());
    }

    private void readAfterDelay(long delayMillis) {
        if (delayMillis == 0) {
            read();
            return;
        }
        int readGeneration = generation;
        loop.schedule(
                () -> {
                    if (readGeneration == generation) {
                        read();
                    }
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Times between reads.
     *
     * @param maxWait maximum time that the store may wait for a change before it answers
     * @param changeInterval time after a change until the next read, so that one read returns all changes of that time
     */
    public record Timing(Duration maxWait, Duration changeInterval) {}

    /** Receives the records of a directory and the state of the store. */
    public interface Listener {
        /** Called with all records after a full read of the directory. */
        void snapshot(Directory directory, List<FleetChange> changes);

        /** Called with the records that were added. */
        void changed(Directory directory, List<FleetChange> changes);

        /** Called when the store has confirmed that no newer record existed at a monotonic time in nanoseconds. */
        void confirmed(Directory directory, long nanos);

        /** Called when the store answers again after a failure, before the records of its first answer are passed. */
        default void storeRecovered(Directory directory) {}

        /**
         * Called after the store has come back from an older copy, before all records of that copy are passed. They may
         * be older than those passed earlier, and records that were passed earlier may be missing.
         */
        default void storeRestored(Directory directory) {}

        /**
         * Called before records are passed that may have been written some time ago, because a previous read failed,
         * the history was deleted, or they were on their way for long.
         *
         * @param directory directory that is read
         * @param nanos monotonic time since when the records may have been written
         */
        default void recordsMissedSince(Directory directory, long nanos) {}
    }
}
