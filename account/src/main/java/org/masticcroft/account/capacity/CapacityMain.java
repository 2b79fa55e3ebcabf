package org.masticcroft.account.capacity;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.masticcroft.account.capacity.AccountCost.Audited;
import org.masticcroft.account.capacity.AccountCost.Buffered;
import org.masticcroft.account.capacity.AccountCost.Written;

/** Prints the figures of the account for the capacity page; started by {@code scripts/account-capacity.sh}. */
public final class CapacityMain {
    private static final int RECORDS = 200_000;
    private static final double PER_MILLION = 1_000_000.0 / RECORDS;
    private static final int WRITTEN_RECORDS = 20_000;
    private static final int WARM_UP_RECORDS = 10_000;

    /** 9,300 requests a second on 340 entries. */
    private static final int ENTRY_RATE = 27;

    private static final int BUFFERED_SECONDS = 600;
    private static final double MIB = 1 << 20;

    /** Records in a batch: an entry after 1 s and 5 s, a sidecar after 5 s and 15 s (15.5 dispatches a second). */
    private static final List<Integer> ENTRY_BATCHES = List.of(27, 137);

    private static final List<Integer> SIDECAR_BATCHES = List.of(78, 233);

    private CapacityMain() {}

    /** Runs all measurements. */
    public static void main(String[] args) throws IOException {
        AccountCost cost = new AccountCost();
        cost.write(AccountCost.samples()::request, WARM_UP_RECORDS, ENTRY_RATE);
        cost.write(AccountCost.samples()::dispatch, WARM_UP_RECORDS, ENTRY_RATE);
        for (int batch : ENTRY_BATCHES) {
            print(System.out, "entry", batch, cost.write(AccountCost.samples()::request, WRITTEN_RECORDS, batch));
        }
        for (int batch : SIDECAR_BATCHES) {
            print(System.out, "sidecar", batch, cost.write(AccountCost.samples()::dispatch, WRITTEN_RECORDS, batch));
        }
        printAudit(System.out, cost);
        printBuffer(System.out, cost);
    }

    private static void print(PrintStream out, String role, int batch, Written written) {
        out.printf(
                Locale.ROOT,
                "write   %-8s batches of %3d: %6.1f us of processor time and %4.0f bytes in the log per record%n",
                role,
                batch,
                written.microsPerRecord(),
                written.bytesPerRecord());
    }

    private static void printAudit(PrintStream out, AccountCost cost) throws IOException {
        Path directory = Files.createTempDirectory("masticcroft-account-capacity");
        try {
            Written written = cost.write(AccountCost.samples()::request, RECORDS, ENTRY_BATCHES.get(1));
            Audited audited = cost.audit(written, directory);
            out.printf(
                    Locale.ROOT,
                    "audit   %d records: export %.1f s, verify %.1f s per million records, %.0f bytes per record%n",
                    RECORDS,
                    audited.exportSeconds() * PER_MILLION,
                    audited.verifySeconds() * PER_MILLION,
                    audited.bytesPerRecord());
        } finally {
            delete(directory);
        }
    }

    private static void printBuffer(PrintStream out, AccountCost cost) {
        int records = ENTRY_RATE * BUFFERED_SECONDS;
        Buffered buffered = cost.buffer(AccountCost.samples()::request, records);
        out.printf(
                Locale.ROOT,
                "buffer  %d records (%d s at %d a second): %.1f MiB of heap, %s%n",
                records,
                BUFFERED_SECONDS,
                ENTRY_RATE,
                buffered.heapBytes() / MIB,
                buffered.complete() ? "none dropped" : "oldest dropped at the bound");
    }

    private static void delete(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
