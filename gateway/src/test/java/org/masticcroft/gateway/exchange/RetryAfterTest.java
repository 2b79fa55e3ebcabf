package org.masticcroft.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;

class RetryAfterTest {
    @Nested
    class Parse {
        /** Guards against fractions that are lost, and against a pause without end. */
        @ParameterizedTest
        @CsvSource({"1, 1000", "0.25, 250", " 2.5 , 2500", "86400, 86400000", "99999999999999999999, 86400000"})
        void readsSecondsUpToADay(String value, long millis) {
            assertThat(RetryAfter.parse(value)).contains(Duration.ofMillis(millis));
        }

        /** Guards against a response that is lost, or an upstream that is avoided, because of an odd value. */
        @ParameterizedTest
        @NullSource
        @ValueSource(strings = {"", "0", "0.0", "-1", "1e3", "soon", "1,5", "Wed, 21 Oct 2026 07:28:00 GMT", ".5"})
        void takesAnythingElseForNoPause(String value) {
            assertThat(RetryAfter.parse(value)).isEmpty();
        }

        @Test
        void readsWhatFormatWrites() {
            Duration delay = Duration.ofMillis(1050);
            assertThat(RetryAfter.parse(RetryAfter.format(delay))).contains(delay);
        }
    }
}
