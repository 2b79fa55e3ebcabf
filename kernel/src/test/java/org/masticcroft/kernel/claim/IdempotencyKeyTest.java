package org.masticcroft.kernel.claim;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.verdict.Verdict;

class IdempotencyKeyTest {
    private static final Instant NOW = Instant.parse("2026-12-04T08:00:00Z");
    private static final Duration LIFETIME = Duration.ofHours(6);

    private static Optional<Verdict> refusalVerdict(Instant issued) {
        return IdempotencyKey.parse(issued + ".t").refusal(NOW, LIFETIME).map(MasticcroftException::verdict);
    }

    @Nested
    class Parsing {
        @Test
        void readsBothTimeFormats() {
            assertThat(IdempotencyKey.parse("2026-12-04T08:00:00Z.order-1").issued())
                    .isEqualTo(NOW);
            assertThat(IdempotencyKey.parse("2026-12-04T08:00:00.000Z.order.1").issued())
                    .isEqualTo(NOW);
            assertThat(IdempotencyKey.parse(NOW.getEpochSecond() + ".order-1").issued())
                    .isEqualTo(NOW);
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "order-1", "17.", ".x", "2026-13-04T08:00:00Z.x", "1.a b", "2026-12-04T08:00:00.x"})
        void refusesOtherText(String text) {
            assertThatThrownBy(() -> IdempotencyKey.parse(text))
                    .isInstanceOfSatisfying(MasticcroftException.class, failure -> {
                        assertThat(failure.code()).isEqualTo(ErrorCode.IDEMPOTENCY_KEY_MALFORMED);
                        assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
                    });
        }
    }

    @Nested
    class Lifetime {
        /** Guards against a definite verdict on an order whose claim the log may no longer retain. */
        @Test
        void endsWithAnUncertainVerdict() {
            assertThat(refusalVerdict(NOW.minus(LIFETIME))).isEmpty();
            assertThat(refusalVerdict(NOW.minus(LIFETIME).minusMillis(1))).contains(Verdict.MAY_HAVE_RUN);
        }

        @Test
        void startsAtMostFiveMinutesInTheFuture() {
            assertThat(refusalVerdict(NOW.plusSeconds(300))).isEmpty();
            assertThat(refusalVerdict(NOW.plusSeconds(301))).contains(Verdict.NOT_RUN);
        }

        /** Guards against keys that outlive the log records of their claims when retention is short. */
        @Test
        void limitsTheRetentionOfClaims() {
            Duration shortLifetime = Duration.ofSeconds(15);
            assertThat(IdempotencyKey.claimRetention(shortLifetime)).isEqualTo(Duration.ofSeconds(40));
            assertThat(IdempotencyKey.parse(NOW.plusSeconds(16) + ".t").refusal(NOW, shortLifetime))
                    .isPresent();
        }
    }

    @Nested
    class Digest {
        /** Guards against equal digests of two customers that send the same key. */
        @Test
        void dependsOnTheCustomer() {
            IdempotencyKey key = IdempotencyKey.parse("17.x");
            assertThat(key.digest("a")).isNotEqualTo(key.digest("b")).hasSize(64);
        }
    }
}
