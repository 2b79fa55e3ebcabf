package org.masticcroft.ports.log;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.kernel.verdict.Verdict;

/** {@link LogService} in memory, for tests, which can inject outages, lost responses and expired records. */
public final class InMemoryLogService implements LogService {
    private final TimeSource time;
    private final Map<String, Stream> streams = new HashMap<>();
    private boolean available = true;
    private int lostAppendResponses;
    private Duration retention;

    private InMemoryLogService(TimeSource time) {
        this.time = time;
    }

    /** Creates an empty log whose records carry the wall-clock time of {@code time}. */
    public static InMemoryLogService of(TimeSource time) {
        return new InMemoryLogService(Objects.requireNonNull(time, "time"));
    }

    /** Starts or ends an outage, during which the service refuses all requests. */
    public synchronized void setAvailable(boolean available) {
        this.available = available;
        notifyAll();
    }

    /** Makes the next {@code count} appends store their record but fail as if the response was lost. */
    public synchronized void loseAppendResponses(int count) {
        this.lostAppendResponses = count;
    }

    /** Sets the retention time, after which records are dropped. */
    public synchronized void setRetention(Duration retention) {
        this.retention = Objects.requireNonNull(retention, "retention");
    }

    /** Drops the records of a stream before an offset. */
    public synchronized void dropBefore(String stream, long offset) {
        stream(stream).dropBefore(offset);
    }

    /** Returns all retained records of a stream, also during an outage. */
    public synchronized List<LogRecord> records(String stream) {
        expire();
        return List.copyOf(stream(stream).records);
    }

    @Override
    public synchronized long append(String stream, byte[] data) {
        requireAvailable();
        expire();
        long offset = stream(stream).append(time.now(), data.clone());
        notifyAll();
        if (lostAppendResponses > 0) {
            lostAppendResponses--;
            throw unavailable(Verdict.MAY_HAVE_RUN, "the response was lost");
        }
        return offset;
    }

    /** {@inheritDoc} Waits in real time, not by the time source. */
    @Override
    public synchronized LogPage read(String stream, long from, int max, Duration wait) {
        requireAvailable();
        awaitRecord(stream(stream), from, wait);
        requireAvailable();
        expire();
        return stream(stream).page(from, max);
    }

    private void awaitRecord(Stream stream, long from, Duration wait) {
        long deadline = System.nanoTime() + wait.toNanos();
        while (available && stream.next() <= from) {
            long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            if (remainingMillis <= 0) {
                return;
            }
            try {
                wait(remainingMillis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw unavailable(Verdict.NOT_RUN, "interrupted");
            }
        }
    }

    private void expire() {
        if (retention != null) {
            Instant oldestRetained = time.now().minus(retention);
            streams.values().forEach(stream -> stream.expire(oldestRetained));
        }
    }

    private Stream stream(String name) {
        return streams.computeIfAbsent(Objects.requireNonNull(name, "stream"), key -> new Stream());
    }

    private void requireAvailable() {
        if (!available) {
            throw unavailable(Verdict.NOT_RUN, "the log service is unavailable");
        }
    }

    private static MasticcroftException unavailable(Verdict verdict, String message) {
        return MasticcroftException.of(ErrorCode.LOG_UNAVAILABLE, verdict, message);
    }

    private static final class Stream {
        private final List<LogRecord> records = new ArrayList<>();
        private long earliest;

        private long next() {
            return earliest + records.size();
        }

        private long append(Instant now, byte[] data) {
            long offset = next();
            records.add(new LogRecord(offset, now, data));
            return offset;
        }

        private LogPage page(long from, int max) {
            List<LogRecord> page = records.stream()
                    .filter(logRecord -> logRecord.offset() >= from)
                    .limit(max)
                    .toList();
            return new LogPage(earliest, next(), page);
        }

        private void expire(Instant oldestRetained) {
            while (!records.isEmpty() && records.get(0).time().isBefore(oldestRetained)) {
                dropBefore(earliest + 1);
            }
        }

        private void dropBefore(long offset) {
            while (!records.isEmpty() && earliest < offset) {
                records.remove(0);
                earliest++;
            }
        }
    }
}
