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
 * Appends audit records to the log in batches. A sealed batch is appended again until the log confirms it; readers
 * recognise the duplicates by the writer and the hash of the header.
 *
 * <p>Lock order: {@code flushLock} before {@code buffer}. Batches are appended under {@code flushLock} only, so
 * callers of {@link #write} never wait for the log.
 */
public final class LogAccountWriter implements AccountWriter {
    private final AccountSettings settings;
    private final Supplier<SigningKey> signingKey;
    private final LogService log;
    private final TimeSource time;
    private final PayloadCodec codec;
    private final AccountListener listener;
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
    private boolean finalBatchAppended;

    private LogAccountWriter(
            AccountSettings settings,
            Supplier<SigningKey> signingKey,
            LogService log,
            TimeSource time,
            PayloadCodec codec,
            AccountListener listener) {
        this.settings = settings;
        this.signingKey = signingKey;
        this.log = log;
        this.time = time;
        this.codec = codec;
        this.listener = listener;
        this.buffer = new RecordBuffer(settings.bufferBytes());
        this.coveredUntilMillis = time.now().toEpochMilli();
    }

    /** Creates a writer with zstd compression that logs events. It flushes periodically only after {@link #start}. */
    public static LogAccountWriter of(AccountSettings settings, SigningKey key, LogService log, TimeSource time) {
        Objects.requireNonNull(key, "key");
        return of(settings, () -> key, log, time, PayloadCodec.zstd(), AccountListener.logging());
    }

    /**
     * Creates a writer. It flushes periodically only after {@link #start}.
     *
     * @param settings names, intervals and sizes
     * @param signingKey supplies the signing key; called for each batch, on the thread that appends it
     * @param log log to which batches are appended
     * @param time source of wall-clock and monotonic time
     * @param codec compresses the payload of each batch
     * @param listener notified of flushes, dropped records and failures
     */
    public static LogAccountWriter of(
            AccountSettings settings,
            Supplier<SigningKey> signingKey,
            LogService log,
            TimeSource time,
            PayloadCodec codec,
            AccountListener listener) {
        return new LogAccountWriter(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(signingKey, "signingKey"),
                Objects.requireNonNull(log, "log"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(codec, "codec"),
                Objects.requireNonNull(listener, "listener"));
    }

    /** Appends a first batch even if no records are buffered, then flushes at the configured interval. */
    public LogAccountWriter start() {
        return start(UnaryOperator.identity());
    }

    /**
     * Appends a first batch even if no records are buffered, then flushes periodically.
     *
     * @param interval maps the configured flush interval to the time until the next flush
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
            listener.dropped(settings.writer(), settings.bufferBytes());
        }
    }

    /**
     * Appends the records that are buffered now. Those that arrive meanwhile wait for the next flush, unless they fit
     * into the last batch.
     *
     * @return whether the log confirmed all of them
     */
    public boolean flush() {
        synchronized (flushLock) {
            long end = bufferEnd();
            while (pending != null || bufferStart() < end) {
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
            if (!finalBatchAppended && flushAll()) {
                finalBatchAppended = appendNext(true, true);
            }
        }
    }

    /** Appends records until none is buffered. */
    private boolean flushAll() {
        while (pending != null || !isBufferEmpty()) {
            if (!flush()) {
                return false;
            }
        }
        return true;
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
            // The writer was closed; close() flushes the buffered records.
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
            listener.failed(e);
        }
    }

    private long bufferStart() {
        synchronized (buffer) {
            return buffer.firstNumber();
        }
    }

    private long bufferEnd() {
        synchronized (buffer) {
            return buffer.nextNumber();
        }
    }

    private boolean isBufferEmpty() {
        synchronized (buffer) {
            return buffer.isEmpty();
        }
    }

    /** Appends the pending batch, or seals and appends the next one. Returns whether the log confirmed it. */
    private boolean appendNext(boolean allowEmpty, boolean last) {
        synchronized (flushLock) {
            if (pending == null && (allowEmpty || !isBufferEmpty())) {
                pending = sealNext(last);
            }
            return pending == null || appendPending();
        }
    }

    private Batch sealNext(boolean last) {
        SigningKey currentKey = signingKey.get();
        RecordBuffer.BatchContent content;
        long closedMillis;
        synchronized (buffer) {
            content = buffer.takeBatch(settings.batchBytes());
            // If the wall clock was set back, the covered interval must still not end before it starts.
            closedMillis = Math.max(coveredUntilMillis, time.now().toEpochMilli());
        }
        BatchHeader unsigned = new BatchHeader(
                settings.writer(),
                settings.role(),
                content.first(),
                content.lines().size(),
                previousHash,
                "",
                coveredUntilMillis,
                closedMillis,
                content.gap(),
                last,
                currentKey.id(),
                "");
        Batch batch = Batch.seal(unsigned, content.lines(), currentKey);
        previousHash = batch.header().hash();
        coveredUntilMillis = closedMillis;
        return batch;
    }

    private boolean appendPending() {
        BatchHeader header = pending.header();
        try {
            long offset = log.append(Streams.ACCOUNT, BatchCodec.encode(pending, codec));
            listener.flushed(header.first(), header.count(), offset);
            pending = null;
            lastAppendNanos = time.nanoTime();
            return true;
        } catch (MasticcroftException e) {
            listener.flushFailed(header.first(), header.count(), e.code());
            return false;
        }
    }
}
