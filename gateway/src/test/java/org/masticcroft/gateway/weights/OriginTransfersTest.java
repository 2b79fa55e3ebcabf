package org.masticcroft.gateway.weights;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Load: all sidecars of a region begin to fetch a new version from the origin at the same moment. */
class OriginTransfersTest {
    private static final int CONNECTIONS = 48;

    @Nested
    class OfManySidecars {
        /** Guards against an origin that drops connection attempts because all sidecars connect at once. */
        @Test
        void stayBelowTheConnectionsOfTheOrigin() {
            int sidecars = 22;

            int each = PieceFetcher.maxOriginTransfers(CONNECTIONS, sidecars);

            assertThat(each).isPositive();
            assertThat(each * sidecars).isLessThan(CONNECTIONS);
        }
    }

    @Nested
    class OfFewSidecars {
        /** Guards against an idle link of the origin between two requests of a sidecar. */
        @Test
        void overlap() {
            assertThat(PieceFetcher.maxOriginTransfers(CONNECTIONS, 3)).isEqualTo(3);
            assertThat(PieceFetcher.maxOriginTransfers(0, 3)).isEqualTo(3);
        }
    }
}
