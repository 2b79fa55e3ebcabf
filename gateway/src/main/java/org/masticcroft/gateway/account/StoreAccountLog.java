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
 * The stream of the account in the platform's store, where each batch lies under a key of its own and is kept for good.
 * Calls wait for the event loop and must not be made on it. The store states no time for a record, so the key carries
 * the time of the append by the clock of the writer.
 */
public final class StoreAccountLog implements LogService {
    /** Longest wait for the store: its own time limit of a call, and some pages of a long account. */
    private static final Duration WAIT = Duration.ofSeconds(20);

    private static final String KEY_FORMAT = "%013d/%s/%06d";
    private static final String KEY_SEPARATOR = "/";

    private final FleetStore store;
    private final EventLoop loop;
    private final TimeSource time;
    private final String writer;
    private long appends;
    private byte[] lastData = new byte[0];
    private String lastKey = "";

    private StoreAccountLog(FleetStore store, EventLoop loop, TimeSource time, String writer) {
        this.store = store;
        this.loop = loop;
        this.time = time;
        this.writer = writer;
    }

    /**
     * Creates the stream.
     *
     * @param store the platform's store
     * @param loop event loop on which the store is called
     * @param time clock
     * @param writer name of the process, unique for each start
     */
    public static StoreAccountLog of(FleetStore store, EventLoop loop, TimeSource time, String writer) {
        return new StoreAccountLog(
                Objects.requireNonNull(store, "store"),
                Objects.requireNonNull(loop, "loop"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(writer, "writer"));
    }

    @Override
    public synchronized long append(String stream, byte[] data) {
        requireAccount(stream);
        if (!Arrays.equals(data, lastData)) {
            lastData = data.clone();
            lastKey = String.format(Locale.ROOT, KEY_FORMAT, time.now().toEpochMilli(), writer, appends);
            appends++;
        }
        String key = lastKey;
        if (!this.<Boolean>await(reply -> store.appendAccountRecord(key, data, reply))) {
            // The same bytes go under the same key again, so that a lost answer leaves one copy.
            throw unavailable("the store did not confirm " + key, null);
        }
        return appends - 1;
    }

    @Override
    public LogPage read(String stream, long from, int max, Duration wait) {
        requireAccount(stream);
        AccountRecords kept = await(store::readAccountRecords);
        kept.failure().ifPresent(reason -> {
            throw unavailable(reason, null);
        });
        List<LogRecord> records = kept.records().stream()
                .filter(record -> record.offset() >= from)
                .limit(max)
                .map(record -> new LogRecord(record.offset(), timeOf(record.key()), record.data()))
                .toList();
        return new LogPage(0, kept.endOffset(), records);
    }

    private <T> T await(Consumer<Consumer<T>> call) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        loop.execute(() -> call.accept(answer::complete));
        try {
            return answer.get(WAIT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw unavailable("interrupted while the store was asked", e);
        } catch (ExecutionException | TimeoutException e) {
            throw unavailable("the store did not answer", e);
        }
    }

    private static Instant timeOf(String key) {
        int end = key.indexOf(KEY_SEPARATOR);
        try {
            return Instant.ofEpochMilli(Long.parseLong(key.substring(0, Math.max(0, end))));
        } catch (NumberFormatException e) {
            // Another writer's key; the record itself shows whether it is a batch.
            return Instant.EPOCH;
        }
    }

    private static void requireAccount(String stream) {
        if (!stream.equals(Streams.ACCOUNT)) {
            throw new IllegalArgumentException(
                    "the store keeps the stream " + Streams.ACCOUNT + " only, not " + stream);
        }
    }

    private static MasticcroftException unavailable(String reason, Throwable cause) {
        return MasticcroftException.of(ErrorCode.LOG_UNAVAILABLE, Verdict.MAY_HAVE_RUN, "account: " + reason, cause);
    }
}
