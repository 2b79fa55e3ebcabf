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

/** Measures processor time, bytes in the log, speed of export and verification, and heap of buffered records. */
final class AccountCost {
    private static final long SEED = 1;
    private static final double MICRO = 1_000;
    private static final double SECOND = 1_000_000_000;

    private final TimeSource time = TimeSource.system();
    private final SigningKey.EncodedKeyPair keys = SigningKey.generate();

    /** Writes records and flushes after every {@code batch} of them, as a flush interval does. */
    Written write(Supplier<AuditRecord> source, int records, int batch) {
        InMemoryLogService log = InMemoryLogService.of(time);
        LogAccountWriter writer = writer(log);
        long spent = 0;
        for (int done = 0; done < records; done += batch) {
            AuditRecord[] chunk = chunk(source, Math.min(batch, records - done));
            long before = threadCpuNanos();
            for (AuditRecord record : chunk) {
                writer.write(record);
            }
            writer.flush();
            spent += threadCpuNanos() - before;
        }
        writer.close();
        return new Written(log, records, spent / MICRO / records, (double) bytes(log) / records);
    }

    /** Exports and verifies what was written. */
    Audited audit(Written written, Path directory) throws IOException {
        Path file = directory.resolve("account.zst");
        long begin = System.nanoTime();
        AccountExport.of(written.log(), Instant.EPOCH, time.now().plusSeconds(1), progress -> {})
                .writeTo(file);
        long exported = System.nanoTime();
        Verification result = AccountVerifier.verify(file, verificationKeys());
        long verified = System.nanoTime();
        if (!result.isAuthentic() || result.records() != written.records()) {
            throw new IllegalStateException("the export does not verify: " + result.findings());
        }
        return new Audited(
                (exported - begin) / SECOND,
                (verified - exported) / SECOND,
                (double) Files.size(file) / written.records());
    }

    /** Returns the heap in bytes that {@code records} records need while the log is down. */
    Buffered buffer(Supplier<AuditRecord> source, int records) {
        InMemoryLogService log = InMemoryLogService.of(time);
        log.setAvailable(false);
        LogAccountWriter writer = writer(log);
        long before = usedHeap();
        for (int i = 0; i < records; i++) {
            writer.write(source.get());
        }
        long heap = usedHeap() - before;
        log.setAvailable(true);
        boolean complete = writer.flush()
                && log.records(Streams.ACCOUNT).stream()
                        .map(LogRecord::data)
                        .map(BatchCodec::decode)
                        .allMatch(batch -> batch.header().gap().isEmpty());
        writer.close();
        return new Buffered(heap, complete);
    }

    static SampleRecords samples() {
        return SampleRecords.of(SEED);
    }

    private LogAccountWriter writer(InMemoryLogService log) {
        return LogAccountWriter.of(
                AccountSettings.of("entry-1/capacity", "entry", Duration.ofSeconds(5)),
                SigningKey.parse(keys.secret()),
                log,
                time);
    }

    private VerificationKeys verificationKeys() {
        return VerificationKeys.parse(keys.id() + " " + keys.publicKey());
    }

    private static AuditRecord[] chunk(Supplier<AuditRecord> source, int size) {
        AuditRecord[] chunk = new AuditRecord[size];
        Arrays.setAll(chunk, i -> source.get());
        return chunk;
    }

    private static long bytes(InMemoryLogService log) {
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
     * Result of writing.
     *
     * @param log the log that holds the batches
     * @param records number of records
     * @param microsPerRecord processor time to serialise, buffer, seal and compress one record
     * @param bytesPerRecord bytes in the log, batch headers included
     */
    record Written(InMemoryLogService log, int records, double microsPerRecord, double bytesPerRecord) {}

    /**
     * Result of an audit.
     *
     * @param exportSeconds elapsed time of the export
     * @param verifySeconds elapsed time of the verification
     * @param bytesPerRecord bytes of the exported file
     */
    record Audited(double exportSeconds, double verifySeconds, double bytesPerRecord) {}

    /**
     * Result of buffering.
     *
     * @param heapBytes heap that the buffered records need
     * @param complete whether no record was dropped
     */
    record Buffered(long heapBytes, boolean complete) {}
}
