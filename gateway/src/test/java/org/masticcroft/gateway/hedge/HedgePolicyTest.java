package org.masticcroft.gateway.hedge;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.time.ManualTimeSource;

class HedgePolicyTest {
    private static final HedgeKey KEY = new HedgeKey("route", "service");
    private static final Duration LONG_TIME = Duration.ofSeconds(10);
    private static final int REQUESTS = 5000;
    private static final int UPSTREAMS = 36;
    private static final long SLOW_MILLIS = 3000;

    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private HedgePolicy policy = HedgePolicy.of(0.05, LONG_TIME, time);

    private static Duration millis(long millis) {
        return Duration.ofMillis(millis);
    }

    private void record(long... times) {
        for (long millis : times) {
            policy.recordRequest(KEY.service());
            policy.recordTimeToFirstByte(KEY, millis(millis));
        }
    }

    private void recordEach(int count, long millis) {
        record(new Random(1).longs(count, millis, millis + 1).toArray());
    }

    /** Guards against hedges because of few responses, of old ones, or of the lateness of the event loop. */
    @Test
    void hedgesNothingWithFewRecentResponsesOrWithinTheMinimumDelay() {
        recordEach(39, 200);
        assertThat(policy.delay(KEY)).isEmpty();
        recordEach(1, 200);
        assertThat(policy.delay(KEY)).contains(millis(250));
        time.advance(Duration.ofSeconds(31));
        assertThat(policy.delay(KEY)).isEmpty();
        recordEach(40, 2);
        assertThat(policy.delay(KEY)).contains(millis(50));
    }

    /** Guards against hedges of a deployment that has not enabled them. */
    @Test
    void hedgesNothingWithoutAShare() {
        policy = HedgePolicy.of(0, LONG_TIME, time);
        recordEach(100, 200);
        assertThat(policy.delay(KEY)).isEmpty();
        assertThat(policy.available(KEY.service())).isFalse();
    }

    /** Guards against hedges of the ordinary waits of an overload, in which a second upstream is as slow. */
    @Test
    void hedgesNoOrdinaryWaitOfAnOverload() {
        record(new Random(1).longs(200, 1000, 2000).toArray());
        assertThat(policy.delay(KEY).orElseThrow()).isGreaterThan(millis(2000));
        assertThat(policy.worthwhile(KEY, millis(1500), millis(1000), LONG_TIME))
                .isFalse();
    }

    /** Guards against work for a caller that leaves before the hedge can have responded. */
    @Test
    void hedgesNothingCloseToTheDeadline() {
        recordEach(100, 100);
        assertThat(policy.worthwhile(KEY, millis(150), millis(100), millis(210)))
                .isTrue();
        assertThat(policy.worthwhile(KEY, millis(150), millis(100), millis(190)))
                .isFalse();
    }

    /** Guards against more hedges than the operators allow, also by the requests of another service. */
    @Test
    void keepsToTheShareOfTheService() {
        recordEach(100, 100);
        for (int i = 0; i < 5; i++) {
            assertThat(policy.tryAcquire(KEY.service())).isTrue();
        }
        assertThat(policy.tryAcquire(KEY.service())).isFalse();
        assertThat(policy.available("other")).isFalse();
    }

    /** Guards against a policy that does not shorten the slowest responses of a load with one slow upstream. */
    @Test
    void shortensTheSlowestResponsesOfALoadWithOneSlowUpstream() {
        Random random = new Random(7);
        long[] waits = new long[REQUESTS];
        int hedges = 0;
        for (int i = 0; i < REQUESTS; i++) {
            time.advance(millis(30));
            waits[i] = response(random);
            Duration delay = policy.delay(KEY).orElse(LONG_TIME);
            if (delay.toMillis() < waits[i]
                    && policy.worthwhile(KEY, delay, millis(100), LONG_TIME)
                    && policy.tryAcquire(KEY.service())) {
                hedges++;
                waits[i] = Math.min(waits[i], delay.toMillis() + response(random));
            }
            record(waits[i]);
        }
        Arrays.sort(waits);
        assertThat(waits[REQUESTS * 99 / 100]).isLessThan(SLOW_MILLIS / 3);
        assertThat(hedges).isLessThanOrEqualTo(REQUESTS / 20);
    }

    private static long response(Random random) {
        return random.nextInt(UPSTREAMS) == 0 ? SLOW_MILLIS : 80 + random.nextInt(60);
    }
}
