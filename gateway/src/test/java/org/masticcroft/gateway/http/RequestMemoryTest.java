package org.masticcroft.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestMemoryTest {
    private static final long LIMIT = 6400;
    private static final long SMALL = 100;

    private final RequestMemory memory = new RequestMemory(LIMIT);
    private final List<String> givenUp = new ArrayList<>();

    private RequestMemory.Reservation arriving(String name, long bytes) {
        RequestMemory.Reservation reservation = memory.newReservation(() -> givenUp.add(name));
        reservation.resize(bytes);
        return reservation;
    }

    @Nested
    class AnArrivingRequestThatDoesNotFit {
        /** Guards against a crowd of stopped bodies that shuts out every later request. */
        @Test
        void displacesTheLargeOneThatGrewTheLongestAgo() {
            arriving("a", 2000);
            arriving("b", 1900);
            assertThat(arriving("small", SMALL).resize(SMALL)).isTrue();
            arriving("c", 1800);

            assertThat(givenUp).containsExactly("a");
            assertThat(memory.usedBytes()).isEqualTo(1900 + SMALL + 1800);
            assertThat(memory.givenUp()).isOne();
        }

        /** Guards against a request that is given up after it has been handled, although 503 states it never ran. */
        @Test
        void displacesNoneThatHasArrived() {
            arriving("arrived", 4000).complete(4000);
            RequestMemory.Reservation large = memory.newReservation(() -> givenUp.add("large"));

            assertThat(large.resize(3000)).isFalse();
            assertThat(large.resize(1)).as("after it was given up").isFalse();
            assertThat(givenUp).containsExactly("large");
            assertThat(memory.usedBytes()).isEqualTo(4000);
        }
    }

    @Nested
    class ASmallRequest {
        /** Guards against large requests in service that leave no room for ordinary ones. */
        @Test
        void fitsBesideTheLargestOnes() {
            arriving("large", 4800).complete(4800);

            assertThat(arriving("small", SMALL).resize(SMALL)).isTrue();
            assertThat(arriving("other", 2 * SMALL).resize(2 * SMALL)).isFalse();
        }
    }

    @Nested
    class TheMemoryOfARequest {
        /** Guards against a budget that shrinks because memory is released twice or not at all. */
        @Test
        void isReleasedOnce() {
            RequestMemory.Reservation request = arriving("a", 1000);
            request.complete(500);
            assertThat(memory.usedBytes()).isEqualTo(500);
            request.release();
            request.release();

            assertThat(memory.usedBytes()).isZero();
        }
    }

    @Nested
    class ABodyThatDoesNotFit {
        private static final Duration BODY_TIME = Duration.ofSeconds(10);
        private static final Duration MAX_WAIT = Duration.ofSeconds(30);

        private final List<String> admitted = new ArrayList<>();
        private long nowNanos;

        /** Guards against refusing a legal body although the ones before it will be answered. */
        @Test
        void waitsUntilOthersAreAnswered() {
            RequestMemory.Reservation first = claim("first", 4000, 4000);
            claim("second", 3000, 3000);
            assertThat(memory.waiting()).isOne();

            first.complete(4000);
            assertThat(admitted).isEmpty();
            first.release();
            assertThat(admitted).containsExactly("second");
            assertThat(memory.usedBytes()).isEqualTo(3000);
            assertThat(givenUp).isEmpty();
        }

        /** Guards against small and new requests that wait behind a crowd of large ones. */
        @Test
        void yieldsToSmallerAndNewerOnes() {
            RequestMemory.Reservation first = claim("first", 4000, 4000);
            claim("old", 3000, 3000);
            claim("new", 3000, 3000);
            claim("smaller", 900, 900);
            first.release();

            assertThat(admitted).containsExactly("smaller", "new");
        }

        /** Guards against bodies of unknown length that all wait for each other's memory. */
        @Test
        void isNeverBlockedByOthersThatWaitThemselves() {
            List<RequestMemory.Reservation> bodies = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                bodies.add(claim("chunked", SMALL - 10, 2000));
            }
            bodies.stream()
                    .filter(body -> !body.waiting())
                    .forEach(body -> body.claim(SMALL, 2000, nowNanos, () -> nowNanos + MAX_WAIT.toNanos()));
            while (!bodies.isEmpty()) {
                RequestMemory.Reservation next = bodies.stream()
                        .filter(body -> !body.waiting())
                        .findFirst()
                        .orElseThrow();
                next.release();
                bodies.remove(next);
            }

            assertThat(memory.waiting()).isZero();
            assertThat(givenUp).isEmpty();
        }

        /** Guards against stopped or trickled bodies that shut out others, and against cutting off the others. */
        @Test
        void displacesThoseThatArriveTooSlowly() {
            RequestMemory.Reservation fast = claim("fast", 2000, 2000);
            claim("stopped", 2500, 2500);
            claim("waiting", 2400, 2400);
            nowNanos = Duration.ofSeconds(2).toNanos();
            fast.arrived(1000, nowNanos, BODY_TIME);
            memory.relieve(nowNanos);

            assertThat(givenUp).containsExactly("stopped");
            assertThat(admitted).containsExactly("waiting");
            assertThat(memory.waiting()).isZero();
        }

        /** Guards against a body that keeps waiting although its caller has given up long ago. */
        @Test
        void isRefusedOnceItHasWaitedTooLong() {
            claim("first", 4000, 4000).complete(4000);
            claim("waiting", 3000, 3000);
            memory.relieve(MAX_WAIT.toNanos());
            assertThat(givenUp).isEmpty();

            memory.relieve(MAX_WAIT.toNanos() + 1);
            assertThat(givenUp).containsExactly("waiting");
        }

        /** Guards against waiting for memory that the process does not have. */
        @Test
        void isRefusedAtOnceIfItNeverFits() {
            claim("first", 1000, 1000);
            claim("huge", 5000, 5000);

            assertThat(givenUp).containsExactly("huge");
        }

        private RequestMemory.Reservation claim(String name, long wanted, long largest) {
            RequestMemory.Reservation reservation = memory.newReservation(new RequestMemory.Owner() {
                @Override
                public void givenUp() {
                    givenUp.add(name);
                }

                @Override
                public void admitted() {
                    admitted.add(name);
                }
            });
            reservation.resize(1);
            reservation.claim(wanted, largest, nowNanos, () -> nowNanos + MAX_WAIT.toNanos());
            return reservation;
        }
    }
}
