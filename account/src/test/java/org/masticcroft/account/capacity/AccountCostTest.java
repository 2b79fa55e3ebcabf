package org.masticcroft.account.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.masticcroft.ports.log.Streams;

class AccountCostTest {
    private static final int RECORDS = 1_000;
    private static final int BATCH = 100;

    private final AccountCost cost = new AccountCost();

    @Nested
    class Written {
        /** Guards against figures per record that count another number of batches than the flush interval gives. */
        @Test
        void hasOneBatchPerFlushAndTheClosingOne() {
            AccountCost.Written written = cost.write(AccountCost.samples()::request, RECORDS, BATCH);
            assertEquals(
                    RECORDS / BATCH + 1, written.log().records(Streams.ACCOUNT).size());
        }

        /** Guards against samples that compress away: two random digests alone need 64 bytes. */
        @Test
        void doesNotCompressBelowTheRandomDigests() {
            assertTrue(
                    cost.write(AccountCost.samples()::dispatch, RECORDS, BATCH).bytesPerRecord() > 64);
        }

        /** Guards against repeated records. */
        @Test
        void hasDistinctRecords() {
            SampleRecords samples = AccountCost.samples();
            assertNotEquals(samples.request().requestId(), samples.request().requestId());
        }
    }

    @Nested
    class Audit {
        /** Guards against a speed of an export that lost records; {@code audit} throws if the file does not verify. */
        @Test
        void coversAllRecords(@TempDir Path directory) throws IOException {
            AccountCost.Written written = cost.write(AccountCost.samples()::request, RECORDS, BATCH);
            assertTrue(cost.audit(written, directory).bytesPerRecord() > 0);
        }
    }

    @Nested
    class Buffer {
        /** Guards against a heap figure of a buffer that has dropped records. */
        @Test
        void saysWhetherRecordsWereDropped() {
            assertTrue(cost.buffer(AccountCost.samples()::request, RECORDS).complete());
        }
    }
}
