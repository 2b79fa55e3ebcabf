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

/** Reads the batches of the account from the log and skips duplicates, which repeated appends produce. */
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
     * Passes each batch from an offset to the end of the stream to the consumer once.
     *
     * @return where reading ended and which records were skipped
     * @throws MasticcroftException with {@code LOG_UNAVAILABLE} if the log does not respond
     */
    public Summary read(long fromOffset, Consumer<LocatedBatch> consumer) {
        Set<String> seenBatches = new HashSet<>();
        long nextOffset = fromOffset;
        long expired = 0;
        int malformed = 0;
        while (true) {
            LogPage page = log.read(Streams.ACCOUNT, nextOffset, PAGE_RECORDS, Duration.ZERO);
            if (page.earliest() > nextOffset) {
                expired += page.earliest() - nextOffset;
                nextOffset = page.earliest();
            }
            if (page.records().isEmpty()) {
                return new Summary(nextOffset, expired, malformed);
            }
            for (LogRecord record : page.records()) {
                nextOffset = record.offset() + 1;
                malformed += acceptIfValid(record, seenBatches, consumer) ? 0 : 1;
            }
        }
    }

    /** Passes a batch on unless it is a duplicate. Returns whether the record is a batch. */
    private static boolean acceptIfValid(LogRecord record, Set<String> seenBatches, Consumer<LocatedBatch> consumer) {
        Batch batch;
        try {
            batch = BatchCodec.decode(record.data());
        } catch (MasticcroftException e) {
            return false;
        }
        String identity = batch.header().writer() + "/" + batch.header().hash();
        if (seenBatches.add(identity)) {
            consumer.accept(new LocatedBatch(record.offset(), record.time().toEpochMilli(), batch));
        }
        return true;
    }

    /**
     * A batch with its position in the log.
     *
     * @param offset offset in the stream
     * @param timeMillis time at which the log accepted the batch, in milliseconds since the epoch
     * @param batch the batch
     */
    public record LocatedBatch(long offset, long timeMillis, Batch batch) {}

    /**
     * Result of a read.
     *
     * @param nextOffset offset after the last record
     * @param expired number of offsets whose records had passed retention before they were read
     * @param malformed number of records that are not batches
     */
    public record Summary(long nextOffset, long expired, int malformed) {}
}
