package org.masticcroft.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class InitialDeadlineEstimatorTest {
    private final InitialDeadlineEstimator estimator = InitialDeadlineEstimator.empty();

    private void firstAttempts(int count, long millis) {
        for (int i = 0; i < count; i++) {
            assertThat(estimator.recordAndEstimateWait(Duration.ofMillis(millis)))
                    .isZero();
        }
    }

    @Test
    void estimatesTheWaitOfACallerThatRetries() {
        firstAttempts(5, 6017);
        assertThat(estimator.recordAndEstimateWait(Duration.ofMillis(4000)))
                .isBetween(Duration.ofMillis(1900), Duration.ofMillis(2100));
    }

    @Test
    void takesTheFirstDeadlineAsTheInitialOne() {
        assertThat(estimator.recordAndEstimateWait(Duration.ofMillis(900))).isZero();
    }

    // Guards against a single caller with a long deadline that makes the requests of all others look late.
    @Test
    void ignoresASingleLongerDeadline() {
        firstAttempts(5, 6017);
        estimator.recordAndEstimateWait(Duration.ofMillis(60_000));
        assertThat(estimator.recordAndEstimateWait(Duration.ofMillis(6017))).isZero();
    }

    @Test
    void followsAChangeOfTheDeadline() {
        firstAttempts(150, 6017);
        for (int i = 0; i < 400; i++) {
            estimator.recordAndEstimateWait(Duration.ofMillis(3017));
        }
        assertThat(estimator.recordAndEstimateWait(Duration.ofMillis(3017))).isZero();
    }
}
