package org.masticcroft.gateway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class CrashSuspectsTest {
    private final CrashSuspects suspects = CrashSuspects.empty();

    // Guards against a request that crashes one engine after another because its caller keeps retrying it.
    @Test
    void quarantineARequestAfterThreeUpstreams() {
        suspects.recordFailure(7, "e1", true, 0);
        suspects.recordFailure(7, "e2", true, 0);
        assertThat(suspects.quarantined(7, 0)).isFalse();
        suspects.recordFailure(7, "e3", true, 0);
        assertThat(suspects.quarantined(7, 0)).isTrue();
    }

    // Guards against the quarantine of a harmless request when a single engine fails repeatedly.
    @Test
    void countAnUpstreamOnce() {
        for (int i = 0; i < 5; i++) {
            suspects.recordFailure(7, "e1", true, 0);
        }
        assertThat(suspects.quarantined(7, 0)).isFalse();
        assertThat(suspects.fingerprintsToReport()).isEmpty();
    }

    // Guards against a crashing request that its caller sends through one entry after another.
    @Test
    void countTheReportOfAnotherEntry() {
        suspects.recordReport(List.of(7L, 7L), "10.0.0.1", 0);
        assertThat(suspects.quarantined(7, 0)).isFalse();
        assertThat(suspects.fingerprintsToReport()).isEmpty();
        suspects.recordFailure(7, "e9", true, 0);
        assertThat(suspects.quarantined(7, 0)).isTrue();
    }

    // Guards against a crashing request that reaches another engine through each entry, since none sees two failures.
    @Test
    void countASingleFailureAtEachEntry() {
        CrashSuspects first = CrashSuspects.empty();
        CrashSuspects second = CrashSuspects.empty();
        first.recordFailure(7, "e1", false, 0);
        second.recordFailure(7, "e2", false, 0);
        suspects.recordReport(first.fingerprintsToReport(), "10.0.0.1", 0);
        suspects.recordReport(second.fingerprintsToReport(), "10.0.0.2", 0);
        suspects.recordReport(second.fingerprintsToReport(), "10.0.0.2", 0);
        assertThat(suspects.quarantined(7, 0)).isFalse();
        suspects.recordFailure(7, "e3", true, 0);
        assertThat(suspects.quarantined(7, 0)).isTrue();
    }

    // Guards against the quarantine of a harmless request that is sent often, when several engines fail at once.
    @Test
    void clearARequestThatGotAResponse() {
        suspects.recordFailure(7, "e1", true, 0);
        suspects.recordFailure(7, "e2", true, 0);
        suspects.recordResponse(7);
        suspects.recordFailure(7, "e3", true, 0);
        assertThat(suspects.quarantined(7, 0)).isFalse();
    }

    @Test
    void forgetARequestAfterTheRetentionTime() {
        suspects.recordFailure(7, "e1", true, 0);
        suspects.recordFailure(7, "e2", true, 0);
        suspects.recordFailure(7, "e3", true, 0);
        assertThat(suspects.quarantined(7, Duration.ofSeconds(61).toNanos())).isFalse();
    }

    // Guards against a subscription that no sidecar can read, so that its entry gets no load reports.
    @Test
    void reportNoMoreThanADatagramHolds() {
        for (int failure = 0; failure < 3; failure++) {
            for (long fingerprint = 1; fingerprint <= 128; fingerprint++) {
                suspects.recordFailure(fingerprint, "e" + failure, true, fingerprint);
            }
        }
        List<Long> reported = suspects.fingerprintsToReport();
        assertThat(reported).hasSizeBetween(120, 128).startsWith(128L, 128L, 128L, 127L);
    }
}
