package org.masticcroft.gateway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class CrashSuspectsTest {
    private final CrashSuspects suspects = CrashSuspects.empty();

    // Guards against a request that crashes one engine after another because its caller keeps retrying it.
    @Test
    void quarantineARequestAfterThreeUpstreams() {
        suspects.recordFailure(7, "e1", 0);
        suspects.recordFailure(7, "e2", 0);
        assertThat(suspects.quarantined(7, 0)).isFalse();
        suspects.recordFailure(7, "e3", 0);
        assertThat(suspects.quarantined(7, 0)).isTrue();
    }

    // Guards against the quarantine of a harmless request when a single engine fails repeatedly.
    @Test
    void countAnUpstreamOnce() {
        for (int i = 0; i < 5; i++) {
            suspects.recordFailure(7, "e1", 0);
        }
        assertThat(suspects.quarantined(7, 0)).isFalse();
        assertThat(suspects.fingerprintsToReport()).isEmpty();
    }

    // Guards against a crashing request that its caller sends through one entry after another.
    @Test
    void countTheReportOfAnotherEntry() {
        suspects.recordReport(7, "10.0.0.1", 0);
        assertThat(suspects.quarantined(7, 0)).isFalse();
        assertThat(suspects.fingerprintsToReport()).isEmpty();
        suspects.recordFailure(7, "e9", 0);
        assertThat(suspects.quarantined(7, 0)).isTrue();
    }

    @Test
    void forgetARequestAfterTheRetentionTime() {
        suspects.recordFailure(7, "e1", 0);
        suspects.recordFailure(7, "e2", 0);
        suspects.recordFailure(7, "e3", 0);
        assertThat(suspects.quarantined(7, Duration.ofSeconds(61).toNanos())).isFalse();
    }
}
