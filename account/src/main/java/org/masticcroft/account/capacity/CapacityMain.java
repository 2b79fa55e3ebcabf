package org.masticcroft.account.capacity;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.masticcroft.account.capacity.AccountCost.AuditCost;
import org.masticcroft.account.capacity.AccountCost.BufferCost;
import org.masticcroft.account.capacity.AccountCost.WriteCost;

/** Prints the cost measurements for the capacity page; started by {@code scripts/account-capacity.sh}. */
public final class CapacityMain {
    private static final int AUDIT_RECORDS = 200_000;
    private static final double PER_MILLION_RECORDS = 1_000_000.0 / AUDIT_RECORDS;
    private static final int WRITE_RECORDS = 20_000;
    private static final int WARM_UP_RECORDS = 10_000;

    /** Load of one entry when 340 entries share 9,300 requests per second. */
    private static final int ENTRY_REQUESTS_PER_SECOND = 27;

    /** Duration of the log outage whose records are buffered. */
    private static final int OUTAGE_SECONDS = 600;

    private static final double MIB = 1 << 20;

    /** Records per batch of an entry that flushes every 1 s and every 5 s. */
    private static final List<Integer> ENTRY_BATCH_RECORDS = List.of(27, 137);

    /** Records per batch of a sidecar with 15.5 dispatches per second that flushes every 5 s and every 15 s. */
    private static final List<Integer> SIDECAR_BATCH_RECORDS = List.of(78, 233);

    private CapacityMain() {}

    /** Runs all measurements. */
    public static void main(String[] args) throws IOException {
        AccountCost cost = new AccountCost();
        cost.write(AccountCost.samples()::request, WARM_UP_RECORDS, ENTRY_REQUESTS_PER_SECOND);
        cost.write(AccountCost.samples()::dispatch, WARM_UP_RECORDS, ENTRY_REQUESTS_PER_SECOND);
        for (int batchRecords : ENTRY_BATCH_RECORDS) {
            printWrite(
                    System.out,
                    "entry",
                    batchRecords,
                    cost.write(AccountCost.samples()::request, WRITE_RECORDS, batchRecords));
        }
        for (int batchRecords : SIDECAR_BATCH_RECORDS) {
            printWrite(
                    System.out,
                    "sidecar",
                    batchRecords,
                    cost.write(AccountCost.samples()::dispatch, WRITE_RECORDS, batchRecords));
        }
        printAudit(System.out, cost);
        printBuffer(System.out, cost);
    }

    private static void printWrite(PrintStream out, String role, int batchRecords, WriteCost written) {
        out.printf(
                Locale.ROOT,
                "write   %-8s batches of %3d: %6.1f us of processor time and %4.0f bytes in the log per record%n",
                role,
                batchRecords,
                written.microsPerRecord(),
                written.bytesPerRecord());
    }

    private static void printAudit(PrintStream out, AccountCost cost) throws IOException {
        Path directory = Files.createTempDirectory("masticcroft-account-capacity");
        try {
            WriteCost written = cost.write(AccountCost.samples()::request, AUDIT_RECORDS, ENTRY_BATCH_RECORDS.get(1));
            AuditCost audited = cost.audit(written, directory);
            out.printf(
                    Locale.ROOT,
                    "audit   %d records: export %.1f s, verify %.1f s per million records, %.0f bytes per record%n",
                    AUDIT_RECORDS,
                    audited.exportSeconds() * PER_MILLION_RECORDS,
                    audited.verifySeconds() * PER_MILLION_RECORDS,
                    audited.bytesPerRecord());
        } finally {
            deleteRecursively(directory);
        }
    }

    private static void printBuffer(PrintStream out, AccountCost cost) {
        int records = ENTRY_REQUESTS_PER_SECOND * OUTAGE_SECONDS;
        BufferCost buffered = cost.buffer(AccountCost.samples()::request, records);
        out.printf(
                Locale.ROOT,
                "buffer  %d records (%d s at %d a second): %.1f MiB of heap, %s%n",
                records,
                OUTAGE_SECONDS,
                ENTRY_REQUESTS_PER_SECOND,
                buffered.heapBytes() / MIB,
                buffered.complete() ? "none dropped" : "oldest dropped at the bound");
    }

    private static void deleteRecursively(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
