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
    private static final int BATCH_RECORDS = 100;

    private final AccountCost cost = new AccountCost();

    @Nested
    class Write {
        /** Guards against costs per record that include more or fewer batches than there were flushes. */
        @Test
        void appendsOneBatchPerFlushAndAFinalOne() {
            AccountCost.WriteCost written = cost.write(AccountCost.samples()::request, RECORDS, BATCH_RECORDS);
            assertEquals(
                    RECORDS / BATCH_RECORDS + 1,
                    written.log().records(Streams.ACCOUNT).size());
        }

        /** Guards against samples that compress too well; the two random digests alone need 64 bytes. */
        @Test
        void takesMoreBytesThanTheRandomDigests() {
            assertTrue(cost.write(AccountCost.samples()::dispatch, RECORDS, BATCH_RECORDS)
                            .bytesPerRecord()
                    > 64);
        }

        /** Guards against identical sample records, which would compress too well. */
        @Test
        void usesDistinctRecords() {
            SampleRecords samples = AccountCost.samples();
            assertNotEquals(samples.request().requestId(), samples.request().requestId());
        }
    }

    @Nested
    class Audit {
        /** Guards against a measured export that lost records; {@code audit} throws if the verification fails. */
        @Test
        void coversAllRecords(@TempDir Path directory) throws IOException {
            AccountCost.WriteCost written = cost.write(AccountCost.samples()::request, RECORDS, BATCH_RECORDS);
            assertTrue(cost.audit(written, directory).bytesPerRecord() > 0);
        }
    }

    @Nested
    class Buffer {
        /** Guards against a heap measurement that does not tell that the buffer has dropped records. */
        @Test
        void reportsWhetherRecordsWereDropped() {
            assertTrue(cost.buffer(AccountCost.samples()::request, RECORDS).complete());
        }
    }
}
