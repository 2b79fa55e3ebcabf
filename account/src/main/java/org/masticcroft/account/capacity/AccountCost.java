package org.masticcroft.account.capacity;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.function.Supplier;
import org.masticcroft.account.batch.BatchCodec;
import org.masticcroft.account.export.AccountExport;
import org.masticcroft.account.key.SigningKey;
import org.masticcroft.account.key.VerificationKeys;
import org.masticcroft.account.record.AuditRecord;
import org.masticcroft.account.verify.AccountVerifier;
import org.masticcroft.account.verify.Verification;
import org.masticcroft.account.writer.AccountSettings;
import org.masticcroft.account.writer.LogAccountWriter;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.ports.log.InMemoryLogService;
import org.masticcroft.ports.log.LogRecord;
import org.masticcroft.ports.log.Streams;

/** Measures CPU time and log bytes per record, export and verification time, and the heap of buffered records. */
final class AccountCost {
    private static final long SEED = 1;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final double NANOS_PER_SECOND = 1_000_000_000;

    private final TimeSource time = TimeSource.system();
    private final SigningKey.EncodedKeyPair keys = SigningKey.generate();

    /** Writes records and flushes after every {@code batchRecords} of them, as the flush interval of a process does. */
    WriteCost write(Supplier<AuditRecord> source, int records, int batchRecords) {
        InMemoryLogService log = InMemoryLogService.of(time);
        LogAccountWriter writer = newWriter(log);
        long cpuNanos = 0;
        for (int written = 0; written < records; written += batchRecords) {
            AuditRecord[] next = nextRecords(source, Math.min(batchRecords, records - written));
            long startNanos = threadCpuNanos();
            for (AuditRecord record : next) {
                writer.write(record);
            }
            writer.flush();
            cpuNanos += threadCpuNanos() - startNanos;
        }
        writer.close();
        return new WriteCost(log, records, cpuNanos / NANOS_PER_MICRO / records, (double) logBytes(log) / records);
    }

    /** Exports and verifies the written records. */
    AuditCost audit(WriteCost written, Path directory) throws IOException {
        Path file = directory.resolve("account.zst");
        long startNanos = System.nanoTime();
        AccountExport.of(written.log(), Instant.EPOCH, time.now().plusSeconds(1), progress -> {})
                .writeTo(file);
        long exportedNanos = System.nanoTime();
        Verification result = AccountVerifier.verify(file, verificationKeys());
        long verifiedNanos = System.nanoTime();
        if (!result.isAuthentic() || result.records() != written.records()) {
            throw new IllegalStateException("verification of the export failed: " + result.findings());
        }
        return new AuditCost(
                (exportedNanos - startNanos) / NANOS_PER_SECOND,
                (verifiedNanos - exportedNanos) / NANOS_PER_SECOND,
                (double) Files.size(file) / written.records());
    }

    /** Measures the heap that {@code records} records occupy while the log is unavailable. */
    BufferCost buffer(Supplier<AuditRecord> source, int records) {
        InMemoryLogService log = InMemoryLogService.of(time);
        log.setAvailable(false);
        LogAccountWriter writer = newWriter(log);
        long heapBefore = usedHeap();
        for (int i = 0; i < records; i++) {
            writer.write(source.get());
        }
        long heapBytes = usedHeap() - heapBefore;
        log.setAvailable(true);
        boolean complete = writer.flush()
                && log.records(Streams.ACCOUNT).stream()
                        .map(LogRecord::data)
                        .map(BatchCodec::decode)
                        .allMatch(batch -> batch.header().gap().isEmpty());
        writer.close();
        return new BufferCost(heapBytes, complete);
    }

    static SampleRecords samples() {
        return SampleRecords.of(SEED);
    }

    private LogAccountWriter newWriter(InMemoryLogService log) {
        return LogAccountWriter.of(
                AccountSettings.of("entry-1/capacity", "entry", Duration.ofSeconds(5)),
                SigningKey.parse(keys.secret()),
                log,
                time);
    }

    private VerificationKeys verificationKeys() {
        return VerificationKeys.parse(keys.id() + " " + keys.publicKey());
    }

    private static AuditRecord[] nextRecords(Supplier<AuditRecord> source, int size) {
        AuditRecord[] records = new AuditRecord[size];
        Arrays.setAll(records, i -> source.get());
        return records;
    }

    private static long logBytes(InMemoryLogService log) {
        return log.records(Streams.ACCOUNT).stream()
                .mapToLong(record -> record.data().length)
                .sum();
    }

    private static long threadCpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static long usedHeap() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /**
     * Cost of writing records.
     *
     * @param log the log that holds the batches
     * @param records number of records
     * @param microsPerRecord CPU time to serialise, buffer, seal and compress one record, in microseconds
     * @param bytesPerRecord bytes in the log per record, including batch headers
     */
    record WriteCost(InMemoryLogService log, int records, double microsPerRecord, double bytesPerRecord) {}

    /**
     * Cost of an export and its verification.
     *
     * @param exportSeconds elapsed time of the export
     * @param verifySeconds elapsed time of the verification
     * @param bytesPerRecord bytes of the exported file per record
     */
    record AuditCost(double exportSeconds, double verifySeconds, double bytesPerRecord) {}

    /**
     * Cost of buffering records.
     *
     * @param heapBytes heap that the buffered records occupy
     * @param complete whether all records reached the log, none dropped
     */
    record BufferCost(long heapBytes, boolean complete) {}
}
