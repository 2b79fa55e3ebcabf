package org.masticcroft.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The budgets for unread responses and for connections. */
class CallerPressureTest {
    private final List<FakeConnection> closed = new ArrayList<>();

    @Nested
    class UnreadBytesOverTheBudget {
        private final UnreadResponses responses = new UnreadResponses(1000);

        /** Guards against unread responses that add up over many connections, and against closing one that has read. */
        @Test
        void closeTheConnectionWithMostOfThem() {
            FakeConnection hasRead = unread(900);
            hasRead.unsentBytes = 0;
            unread(300);
            FakeConnection most = unread(500);
            unread(400);

            assertThat(closed).containsExactly(most);
            assertThat(responses.closed()).isOne();
        }

        private FakeConnection unread(long bytes) {
            FakeConnection connection = new FakeConnection();
            connection.unsentBytes = bytes;
            responses.written(connection);
            return connection;
        }
    }

    @Nested
    class AConnectionOverTheBudget {
        private final ConnectionBudget budget = new ConnectionBudget(2);

        /** Guards against idle connections that shut out callers, and against cutting off an open request for them. */
        @Test
        void displacesTheOneThatWasUnusedLongest() {
            FakeConnection open = connection(1, true);
            FakeConnection idle = connection(2, false);
            FakeConnection open2 = connection(3, true);
            FakeConnection last = connection(4, false);

            assertThat(closed).containsExactly(idle, last);
            assertThat(budget.open()).isEqualTo(2);
            budget.remove(open);
            budget.remove(open2);
            assertThat(budget.open()).isZero();
        }

        private FakeConnection connection(long lastActiveNanos, boolean inUse) {
            FakeConnection connection = new FakeConnection();
            connection.lastActiveNanos = lastActiveNanos;
            connection.inUse = inUse;
            budget.add(connection);
            return connection;
        }
    }

    private final class FakeConnection implements UnreadResponses.Connection, ConnectionBudget.Connection {
        private long unsentBytes;
        private long lastActiveNanos;
        private boolean inUse;

        @Override
        public long unsentBytes() {
            return unsentBytes;
        }

        @Override
        public void closeUnread() {
            closed.add(this);
        }

        @Override
        public boolean inUse() {
            return inUse;
        }

        @Override
        public long lastActiveNanos() {
            return lastActiveNanos;
        }

        @Override
        public void closeUnused() {
            closed.add(this);
        }
    }
}
