package org.masticcroft.gateway.config;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CallerBudgetsTest {
    @Nested
    class TheBudgetsOfTheSmallestEntry {
        private static final long HEAP_BYTES = 96L << 20;
        private static final int DESCRIPTORS = 2069;
        private static final long MAX_BODY_BYTES = 4_194_304;

        private final CallerBudgets budgets = CallerBudgets.of(HEAP_BYTES, DESCRIPTORS);

        /** Guards against a default that refuses a request within the limits of its caller in a calm process. */
        @Test
        void holdSeveralOfTheLargestRequests() {
            assertThat(budgets.requestBytes() * 3 / 4).isGreaterThan(4 * MAX_BODY_BYTES);
            assertThat(budgets.unreadBytes()).isGreaterThan(2 * MAX_BODY_BYTES);
        }

        /** Guards against connections of callers that leave no descriptor for each slot of 36 engines. */
        @Test
        void leaveDescriptorsForUpstreams() {
            int acceptedAtOnce = budgets.connections() / 8;
            int internal = budgets.internalConnections() * 9 / 8;
            assertThat(DESCRIPTORS - budgets.connections() - acceptedAtOnce - internal)
                    .isGreaterThan(36 * 12);
        }

        /** Guards against connections that use up the descriptors together; the platform keeps 200 for files. */
        @Test
        void neverUseUpTheDescriptors() {
            int fromCallers = budgets.connections() + budgets.internalConnections();
            assertThat(fromCallers * 9 / 8 + budgets.upstreamConnections()).isLessThanOrEqualTo(DESCRIPTORS - 200);
        }
    }
}
