package org.masticcroft.standins.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LogStreamsTest {
    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final LogStreams streams = LogStreams.of(10, Duration.ofSeconds(60), clock::get);

    @Nested
    class Appending {
        /** Guards against test runs that pass only because the stand-in accepts more appends than the platform does. */
        @Test
        void refusesAppendsOverTheRateOfAllStreamsTogether() {
            for (int i = 0; i < 10; i++) {
                assertThat(streams.append("s" + i % 2, new byte[1])).isPresent();
            }
            assertThat(streams.append("s0", new byte[1])).isEmpty();
            clock.addAndGet(100);
            assertThat(streams.append("s1", new byte[1])).hasValue(5);
            assertThat(streams.append("s1", new byte[1])).isEmpty();
        }

        /** Guards against wrong counts, by which checks of the append budget would pass or fail wrongly. */
        @Test
        void countsAppendsByStreamAndThePeakRate() {
            streams.append("a", new byte[1]);
            streams.append("a", new byte[1]);
            streams.append("b", new byte[1]);
            ObjectNode stats = streams.stats();
            assertThat(stats.at("/appends/a").asInt()).isEqualTo(2);
            assertThat(stats.path("appends_total").asInt()).isEqualTo(3);
            assertThat(stats.path("peak_appends_per_second").asInt()).isEqualTo(3);
        }
    }

    @Nested
    class Reading {
        /** Guards against pages that skip or repeat records. */
        @Test
        void pagesWithoutGaps() {
            for (int i = 0; i < 5; i++) {
                streams.append("a", new byte[] {(byte) i});
            }
            ObjectNode page = streams.read("a", 1, 2);
            assertThat(page.path("next").asInt()).isEqualTo(3);
            assertThat(page.at("/records/0/offset").asInt()).isEqualTo(1);
            assertThat(streams.read("a", 3, 100).path("records")).hasSize(2);
            assertThat(streams.read("a", 5, 100).path("next").asInt()).isEqualTo(5);
        }

        /** Guards against retention that never drops anything or restarts offsets. */
        @Test
        void dropsRecordsPastRetentionAndKeepsOffsets() {
            streams.append("a", new byte[1]);
            clock.addAndGet(61_000);
            assertThat(streams.read("a", 0, 10).path("earliest").asInt()).isEqualTo(1);
            assertThat(streams.read("a", 0, 10).path("next").asInt()).isEqualTo(1);
            assertThat(streams.append("a", new byte[1])).hasValue(1);
        }
    }
}
