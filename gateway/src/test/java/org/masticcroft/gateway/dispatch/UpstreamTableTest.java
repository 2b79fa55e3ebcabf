package org.masticcroft.gateway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Instant;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.load.LoadReport;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.time.ManualTimeSource;

class UpstreamTableTest {
    private static final Address ADDRESS = new Address("10.0.0.1", 80);

    private final DecisionLog log =
            DecisionLog.start(ManualTimeSource.of(Instant.EPOCH), new PrintStream(OutputStream.nullOutputStream()));
    private final UpstreamTable table = UpstreamTable.of(log);

    @AfterEach
    void close() {
        log.close();
    }

    private void list(String id, long startMillis) {
        table.put(
                new UpstreamListing(id, "s", ADDRESS, "z", 4, false, startMillis, 1, OptionalLong.of(startMillis)), 0);
    }

    private OptionalLong servedVersion(String id) {
        return table.listed().stream()
                .filter(upstream -> upstream.id().equals(id))
                .findFirst()
                .orElseThrow()
                .servedVersion();
    }

    /** Pattern: an engine that ended, or another writer, has an entry with the address of a running engine. */
    @Nested
    class TwoEntriesWithOneAddress {
        /** Guards against reports that are lost to the other entry, and so against an outdated version and load. */
        @ParameterizedTest
        @ValueSource(strings = {"a", "b", "c", "d", "e", "f", "g", "h"})
        void leaveTheReportsToTheProcessThatSentThem(String other) {
            list("engine", 5);
            list(other, 4);

            table.applyReport(ADDRESS, new LoadReport(5, 1, 0, false, false, OptionalLong.of(9), 1), 0);

            assertThat(servedVersion("engine")).hasValue(9);
            assertThat(servedVersion(other)).hasValue(4);
        }
    }
}
