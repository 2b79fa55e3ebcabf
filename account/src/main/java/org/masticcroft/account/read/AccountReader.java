package org.masticcroft.account.read;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import org.masticcroft.account.batch.Batch;
import org.masticcroft.account.batch.BatchCodec;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.ports.log.LogPage;
import org.masticcroft.ports.log.LogRecord;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.ports.log.Streams;

/** Reads the batches of the account from the log, without the copies that lost append answers leave behind. */
public final class AccountReader {
    private static final int PAGE_RECORDS = 200;

    private final LogService log;

    private AccountReader(LogService log) {
        this.log = log;
    }

    /** Creates a reader. */
    public static AccountReader of(LogService log) {
        return new AccountReader(Objects.requireNonNull(log, "log"));
    }

    /**
     * Passes all batches from an offset to the end of the stream to the consumer, each once.
     *
     * @return what was read
     * @throws MasticcroftException with {@code LOG_UNAVAILABLE} if the log does not answer
     */
    public Summary read(long from, Consumer<Located> consumer) {
        Set<String> seen = new HashSet<>();
        long next = from;
        long expired = 0;
        int malformed = 0;
        while (true) {
            LogPage page = log.read(Streams.ACCOUNT, next, PAGE_RECORDS, Duration.ZERO);
            if (page.earliest() > next) {
                expired += page.earliest() - next;
                next = page.earliest();
            }
            if (page.records().isEmpty()) {
                return new Summary(next, expired, malformed);
            }
            for (LogRecord record : page.records()) {
                next = record.offset() + 1;
                malformed += accept(record, seen, consumer) ? 0 : 1;
            }
        }
    }

    private static boolean accept(LogRecord record, Set<String> seen, Consumer<Located> consumer) {
        Batch batch;
        try {
            batch = BatchCodec.decode(record.data());
        } catch (MasticcroftException e) {
            return false;
        }
        String identity = batch.header().writer() + "/" + batch.header().hash();
        if (seen.add(identity)) {
            consumer.accept(new Located(record.offset(), record.time().toEpochMilli(), batch));
        }
        return true;
    }

    /**
     * A batch with its place in the log.
     *
     * @param offset offset in the stream
     * @param timeMillis time at which the log accepted it, in milliseconds since the epoch
     * @param batch the batch
     */
    public record Located(long offset, long timeMillis, Batch batch) {}

    /**
     * Result of a read.
     *
     * @param next offset after the last record
     * @param expired number of offsets that had passed retention before they were read
     * @param malformed number of records that are not batches
     */
    public record Summary(long next, long expired, int malformed) {}
}
