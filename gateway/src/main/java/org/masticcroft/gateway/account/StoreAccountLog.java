package org.masticcroft.gateway.account;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.masticcroft.gateway.fleet.AccountRecords;
import org.masticcroft.gateway.fleet.FleetStore;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.ports.log.LogPage;
import org.masticcroft.ports.log.LogRecord;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.ports.log.Streams;

/**
 * Log service for the account stream, backed by the platform's store. The store retains each batch permanently under a
 * key of its own. Calls block until the event loop has completed them, so they must not be made on the event loop. The
 * store returns no time with a record, so the key contains the time of the append by the clock of the writer. Batches
 * that the store may have lost by a restore are appended again.
 */
public final class StoreAccountLog implements LogService {
    /** Timeout of a call: covers the time limit of the store itself, and several pages of a long account. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);

    private static final String KEY_FORMAT = "%013d/%s/%06d";
    private static final String KEY_SEPARATOR = "/";

    private final FleetStore store;
    private final EventLoop loop;
    private final TimeSource time;
    private final String process;
    private final AccountAppender appender;
    private long appends;
    private byte[] lastData = new byte[0];
    private String lastKey = "";

    private StoreAccountLog(
            FleetStore store, EventLoop loop, TimeSource time, String process, AccountAppender appender) {
        this.store = store;
        this.loop = loop;
        this.time = time;
        this.process = process;
        this.appender = appender;
    }

    /**
     * Creates the log service.
     *
     * @param store the platform's store
     * @param loop event loop on which the store is called
     * @param time time source
     * @param process name of the writing process, unique for each start
     */
    public static StoreAccountLog of(FleetStore store, EventLoop loop, TimeSource time, String process) {
        return of(store, loop, time, process, batches -> {});
    }

    /**
     * Creates the log service.
     *
     * @param store the platform's store
     * @param loop event loop on which the store is called
     * @param time time source
     * @param process name of the writing process, unique for each start
     * @param repetitionListener receives the number of batches that were appended again after a restore of the store
     */
    public static StoreAccountLog of(
            FleetStore store, EventLoop loop, TimeSource time, String process, IntConsumer repetitionListener) {
        return new StoreAccountLog(
                Objects.requireNonNull(store, "store"),
                Objects.requireNonNull(loop, "loop"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(process, "process"),
                AccountAppender.of(store, loop, time, repetitionListener));
    }

    @Override
    public boolean keepsNewestOfKey() {
        return true;
    }

    @Override
    public synchronized long append(String stream, byte[] data) {
        requireAccount(stream);
        if (!Arrays.equals(data, lastData)) {
            lastData = data.clone();
            lastKey = String.format(Locale.ROOT, KEY_FORMAT, time.now().toEpochMilli(), process, appends);
            appends++;
        }
        String key = lastKey;
        byte[] kept = lastData;
        if (!this.<Boolean>await(reply -> appender.append(key, kept, reply))) {
            // A retry of the same bytes uses the same key, so that a lost acknowledgement leaves only one copy.
            throw unavailable("the store did not confirm " + key, null);
        }
        return appends - 1;
    }

    @Override
    public LogPage read(String stream, long from, int max, Duration wait) {
        requireAccount(stream);
        AccountRecords accountRecords = await(store::readAccountRecords);
        accountRecords.failure().ifPresent(reason -> {
            throw unavailable(reason, null);
        });
        List<LogRecord> records = accountRecords.records().stream()
                .filter(record -> record.offset() >= from)
                .limit(max)
                .map(record -> new LogRecord(record.offset(), appendTime(record.key()), record.data()))
                .toList();
        return new LogPage(0, accountRecords.endOffset(), records);
    }

    private <T> T await(Consumer<Consumer<T>> call) {
        CompletableFuture<T> reply = new CompletableFuture<>();
        loop.execute(() -> call.accept(reply::complete));
        try {
            return reply.get(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw unavailable("interrupted while waiting for the store", e);
        } catch (ExecutionException | TimeoutException e) {
            throw unavailable("no reply from the store", e);
        }
    }

    private static Instant appendTime(String key) {
        int end = key.indexOf(KEY_SEPARATOR);
        try {
            return Instant.ofEpochMilli(Long.parseLong(key.substring(0, Math.max(0, end))));
        } catch (NumberFormatException e) {
            // Key of another writer; decoding the record shows whether it is a batch.
            return Instant.EPOCH;
        }
    }

    private static void requireAccount(String stream) {
        if (!stream.equals(Streams.ACCOUNT)) {
            throw new IllegalArgumentException(
                    "only the stream " + Streams.ACCOUNT + " is available in the store, not " + stream);
        }
    }

    private static MasticcroftException unavailable(String reason, Throwable cause) {
        return MasticcroftException.of(ErrorCode.LOG_UNAVAILABLE, Verdict.MAY_HAVE_RUN, "account: " + reason, cause);
    }
}
