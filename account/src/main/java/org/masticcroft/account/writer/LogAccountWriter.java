package org.masticcroft.account.writer;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.masticcroft.account.batch.Batch;
import org.masticcroft.account.batch.BatchCodec;
import org.masticcroft.account.batch.BatchHeader;
import org.masticcroft.account.batch.PayloadCodec;
import org.masticcroft.account.key.SigningKey;
import org.masticcroft.account.record.AuditRecord;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.ports.log.Streams;

/**
 * Appends audit records to the log in batches. A sealed batch is appended again until the log confirms it; readers drop
 * the copies, because a batch is identified by its writer and first number.
 *
 * <p>Lock order: {@code flushLock} before {@code buffer}. Appending happens under {@code flushLock} only, so callers of
 * {@link #write} never wait for the log.
 */
public final class LogAccountWriter implements AccountWriter {
    private final AccountSettings settings;
    private final Supplier<SigningKey> key;
    private final LogService log;
    private final TimeSource time;
    private final PayloadCodec codec;
    private final AccountListener events;
    private final RecordBuffer buffer;
    private final Object flushLock = new Object();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "account-writer");
        thread.setDaemon(true);
        return thread;
    });

    private Batch pending;
    private String previousHash = BatchHeader.NO_PREVIOUS;
    private long coveredUntilMillis;
    private long lastAppendNanos;
    private boolean ended;

    private LogAccountWriter(
            AccountSettings settings,
            Supplier<SigningKey> key,
            LogService log,
            TimeSource time,
            PayloadCodec codec,
            AccountListener events) {
        this.settings = settings;
        this.key = key;
        this.log = log;
        this.time = time;
        this.codec = codec;
        this.events = events;
        this.buffer = new RecordBuffer(settings.bufferBytes());
        this.coveredUntilMillis = time.now().toEpochMilli();
    }

    /** Creates a writer that does not flush by itself; tests and {@link #start} drive it. */
    public static LogAccountWriter of(AccountSettings settings, SigningKey key, LogService log, TimeSource time) {
        Objects.requireNonNull(key, "key");
        return of(settings, () -> key, log, time, PayloadCodec.zstd(), AccountListener.logging());
    }

    /**
     * Creates a writer that does not flush by itself.
     *
     * @param settings settings
     * @param key gives the signing key; called for each batch, on the thread that appends
     * @param log where batches are appended
     * @param time clock
     * @param codec codec of the payload
     * @param events receiver of what happens to the records
     */
    public static LogAccountWriter of(
            AccountSettings settings,
            Supplier<SigningKey> key,
            LogService log,
            TimeSource time,
            PayloadCodec codec,
            AccountListener events) {
        return new LogAccountWriter(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(key, "key"),
                Objects.requireNonNull(log, "log"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(codec, "codec"),
                Objects.requireNonNull(events, "events"));
    }

    /** Appends the opening batch and flushes at the settings' interval from now on. */
    public LogAccountWriter start() {
        return start(UnaryOperator.identity());
    }

    /**
     * Appends the opening batch and flushes from now on.
     *
     * @param interval gives the time until the next flush, from the settings' interval
     */
    public LogAccountWriter start(UnaryOperator<Duration> interval) {
        scheduler.execute(() -> appendNext(true, false));
        scheduleFlush(interval);
        return this;
    }

    @Override
    public void write(AuditRecord record) {
        String line = BatchCodec.recordLine(record);
        boolean dropped;
        synchronized (buffer) {
            dropped = buffer.add(line, time.now().toEpochMilli());
        }
        if (dropped) {
            events.dropped(settings.writer(), settings.bufferBytes());
        }
    }

    /**
     * Appends everything that is buffered.
     *
     * @return whether the log confirmed all of it
     */
    public boolean flush() {
        synchronized (flushLock) {
            while (pending != null || !isBufferEmpty()) {
                if (!appendNext(false, false)) {
                    return false;
                }
            }
            return true;
        }
    }

    @Override
    public void close() {
        scheduler.shutdown();
        synchronized (flushLock) {
            if (!ended && flush()) {
                ended = appendNext(true, true);
            }
        }
    }

    private void scheduleFlush(UnaryOperator<Duration> interval) {
        Runnable task = () -> {
            flushIfDue();
            scheduleFlush(interval);
        };
        try {
            long delay = interval.apply(settings.flushInterval()).toMillis();
            scheduler.schedule(task, delay, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The writer was closed, and close() has flushed or will flush what is buffered.
        }
    }

    private void flushIfDue() {
        try {
            boolean idle = time.since(lastAppendNanos).compareTo(settings.idleInterval()) >= 0;
            if (!flush()) {
                return;
            }
            if (idle) {
                appendNext(true, false);
            }
        } catch (RuntimeException e) {
            events.failed(e);
        }
    }

    private boolean isBufferEmpty() {
        synchronized (buffer) {
            return buffer.isEmpty();
        }
    }

    /** Appends the pending batch, or seals and appends the next one. Returns whether the log confirmed it. */
    private boolean appendNext(boolean evenIfEmpty, boolean last) {
        synchronized (flushLock) {
            if (pending == null && (evenIfEmpty || !isBufferEmpty())) {
                pending = sealNext(last);
            }
            return pending == null || appendPending();
        }
    }

    private Batch sealNext(boolean last) {
        SigningKey signing = key.get();
        RecordBuffer.Chunk chunk;
        long closed;
        synchronized (buffer) {
            chunk = buffer.take(settings.batchBytes());
            // A wall clock that stepped back must not produce an interval that ends before it starts.
            closed = Math.max(coveredUntilMillis, time.now().toEpochMilli());
        }
        BatchHeader unsigned = new BatchHeader(
                settings.writer(),
                settings.role(),
                chunk.first(),
                chunk.lines().size(),
                previousHash,
                "",
                coveredUntilMillis,
                closed,
                chunk.gap(),
                last,
                signing.id(),
                "");
        Batch batch = Batch.seal(unsigned, chunk.lines(), signing);
        previousHash = batch.header().hash();
        coveredUntilMillis = closed;
        return batch;
    }

    private boolean appendPending() {
        BatchHeader header = pending.header();
        try {
            long offset = log.append(Streams.ACCOUNT, BatchCodec.encode(pending, codec));
            events.flushed(header.first(), header.count(), offset);
            pending = null;
            lastAppendNanos = time.nanoTime();
            return true;
        } catch (MasticcroftException e) {
            events.flushFailed(header.first(), header.count(), e.code());
            return false;
        }
    }
}
