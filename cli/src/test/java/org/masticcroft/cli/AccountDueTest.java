package org.masticcroft.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.ports.log.Streams;

class AccountDueTest {
    private final TestFleet fleet = new TestFleet();

    private int exitCode(String nextOffset) {
        return fleet.run("account", "due", "--retention", "60m", nextOffset).exitCode();
    }

    @Nested
    class AnExport {
        @Test
        void isNotDueWithoutRecords() {
            assertThat(exitCode("0")).isEqualTo(ExitCodes.OK);
        }

        /** Guards against records that the log deletes after the retention time before an operator is warned. */
        @Test
        void isDueWhenARecordIsOlderThanHalfOfTheRetention() {
            fleet.log.append(Streams.ACCOUNT, new byte[] {1});
            fleet.time.advance(Duration.ofMinutes(29));
            assertThat(exitCode("0")).isEqualTo(ExitCodes.OK);
            fleet.time.advance(Duration.ofMinutes(2));
            assertThat(exitCode("0")).isEqualTo(ExitCodes.PROBLEM);
            assertThat(exitCode("1")).isEqualTo(ExitCodes.OK);
        }

        /** Guards against records that were deleted before an export without any report of the loss. */
        @Test
        void isDueWhenRecordsWereLost() {
            fleet.log.append(Streams.ACCOUNT, new byte[] {1});
            fleet.log.append(Streams.ACCOUNT, new byte[] {2});
            fleet.log.dropBefore(Streams.ACCOUNT, 1);
            assertThat(exitCode("0")).isEqualTo(ExitCodes.PROBLEM);
            assertThat(exitCode("1")).isEqualTo(ExitCodes.OK);
        }
    }
}
