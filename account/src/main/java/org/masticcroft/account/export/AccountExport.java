package org.masticcroft.account.export;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.masticcroft.account.batch.Batch;
import org.masticcroft.account.batch.BatchCodec;
import org.masticcroft.account.batch.BatchHeader;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.ports.log.LogPage;
import org.masticcroft.ports.log.LogRecord;
import org.masticcroft.ports.log.LogService;
import org.masticcroft.ports.log.Streams;

/** Copies the account of an interval from the log into a file that can be verified without the log. */
public final class AccountExport {
    private static final int PAGE_RECORDS = 200;

    private final LogService log;
    private final long fromMillis;
    private final long toMillis;
    private final Consumer<Progress> progress;
    private final Set<String> seenBatches = new HashSet<>();
    private long nextOffset;
    private long batches;
    private long records;

    private AccountExport(LogService log, Instant from, Instant to, Consumer<Progress> progress) {
        this.log = log;
        this.fromMillis = from.toEpochMilli();
        this.toMillis = to.toEpochMilli();
        this.progress = progress;
    }

    /**
     * Creates an export.
     *
     * @param log the log
     * @param from start of the interval
     * @param to end of the interval
     * @param progress called after each page of log records
     */
    public static AccountExport of(LogService log, Instant from, Instant to, Consumer<Progress> progress) {
        return new AccountExport(
                Objects.requireNonNull(log, "log"),
                Objects.requireNonNull(from, "from"),
                Objects.requireNonNull(to, "to"),
                Objects.requireNonNull(progress, "progress"));
    }

    /**
     * Writes the file, or resumes an interrupted export of the same interval.
     *
     * @return the totals of the export
     * @throws MasticcroftException with {@code LOG_UNAVAILABLE} if the log does not respond; a later call resumes
     * @throws IOException if the file cannot be written
     */
    public Progress writeTo(Path target) throws IOException {
        try (ExportSink sink = openSink(target)) {
            long end = copyPages(sink);
            sink.finish(end, batches, records);
            return new Progress(end, end, batches, records);
        }
    }

    private ExportSink openSink(Path target) throws IOException {
        ExportSink sink = ExportSink.open(target);
        Optional<ExportState> resumedState = sink.resumedState();
        if (resumedState.isPresent()) {
            ExportState state = resumedState.get();
            if (state.fromMillis() != fromMillis || state.toMillis() != toMillis) {
                sink.close();
                throw new IOException(target + ".part belongs to an export of another interval; remove it first");
            }
            nextOffset = state.nextOffset();
            batches = state.batches();
            records = state.records();
            ExportReader.of(sink.partFile()).read(new ExportedBatchCollector());
        } else {
            sink.addLine(ExportCodec.write(new ExportLine.Start(ExportLine.FORMAT, fromMillis, toMillis, 0)));
        }
        return sink;
    }

    private long copyPages(ExportSink sink) throws IOException {
        while (true) {
            LogPage page = log.read(Streams.ACCOUNT, nextOffset, PAGE_RECORDS, Duration.ZERO);
            recordExpired(page, sink);
            if (page.records().isEmpty()) {
                return nextOffset;
            }
            for (LogRecord record : page.records()) {
                recordReplacedCopies(record.offset(), sink);
                copyRecord(record, sink);
                nextOffset = record.offset() + 1;
            }
            sink.endFrame(new ExportState(fromMillis, toMillis, nextOffset, batches, records, 0));
            progress.accept(new Progress(nextOffset, page.next(), batches, records));
        }
    }

    private void recordExpired(LogPage page, ExportSink sink) {
        if (page.earliest() > nextOffset) {
            sink.addLine(ExportCodec.write(new ExportLine.Expired(nextOffset, page.earliest())));
            nextOffset = page.earliest();
        }
    }

    /** Adds the offsets before a record whose records a later copy under the same key has replaced. */
    private void recordReplacedCopies(long offset, ExportSink sink) {
        while (log.keepsNewestOfKey() && nextOffset < offset) {
            sink.addLine(ExportCodec.write(new ExportLine.Copy(nextOffset)));
            nextOffset++;
        }
    }

    private void copyRecord(LogRecord record, ExportSink sink) {
        Optional<Batch> decoded = decode(record);
        if (decoded.isEmpty()) {
            sink.addLine(ExportCodec.write(new ExportLine.Malformed(record.offset())));
            return;
        }
        BatchHeader header = decoded.get().header();
        if (!seenBatches.add(identity(header))) {
            sink.addLine(ExportCodec.write(new ExportLine.Copy(record.offset())));
        } else if (isOutsideInterval(header)) {
            sink.addLine(ExportCodec.write(new ExportLine.Outside(record.offset(), header)));
        } else {
            sink.addLine(ExportCodec.write(
                    new ExportLine.BatchLine(record.offset(), record.time().toEpochMilli(), header)));
            decoded.get().lines().forEach(sink::addLine);
            batches++;
            records += header.count();
        }
    }

    private boolean isOutsideInterval(BatchHeader header) {
        return header.closedMillis() < fromMillis || header.openedMillis() > toMillis;
    }

    private static String identity(BatchHeader header) {
        return header.writer() + "/" + header.hash();
    }

    private static Optional<Batch> decode(LogRecord record) {
        try {
            return Optional.of(BatchCodec.decode(record.data()));
        } catch (MasticcroftException e) {
            return Optional.empty();
        }
    }

    /** Collects the batches that an interrupted export has written, so that later duplicates are recognised. */
    private final class ExportedBatchCollector implements ExportReader.Handler {
        @Override
        public void batch(ExportLine.BatchLine line, Batch batch) {
            seenBatches.add(identity(line.header()));
        }

        @Override
        public void otherLine(ExportLine line) {
            if (line instanceof ExportLine.Outside outside) {
                seenBatches.add(identity(outside.header()));
            }
        }
    }

    /**
     * Progress of an export.
     *
     * @param nextOffset first offset that is not yet exported
     * @param endOffset end offset of the stream when the last page was read
     * @param batches batches written
     * @param records records written
     */
    public record Progress(long nextOffset, long endOffset, long batches, long records) {}
}
