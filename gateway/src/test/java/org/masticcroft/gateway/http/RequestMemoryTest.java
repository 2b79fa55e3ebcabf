package org.masticcroft.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

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
}
