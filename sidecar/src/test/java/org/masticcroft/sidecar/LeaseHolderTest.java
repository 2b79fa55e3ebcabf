package org.masticcroft.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.ports.log.Streams;
import org.masticcroft.sidecar.lease.LeaseHolder;
import org.masticcroft.sidecar.lease.LeaseRecord;

class LeaseHolderTest {
    private final Fixture fixture = new Fixture();

    private LeaseHolder holder(String incarnation) {
        return LeaseHolder.of(
                fixture.log,
                fixture.time,
                fixture.account,
                LeaseRecord.original("e-1", "s-1", incarnation),
                Fixture.LOG_RETENTION);
    }

    private LeaseHolder acquired(String incarnation) {
        LeaseHolder holder = holder(incarnation);
        holder.acquireOrRenew();
        return holder;
    }

    private int recordCount() {
        return fixture.log.records(Streams.LEASES).size();
    }

    @Nested
    class Acquisition {
        /** Guards against appending the lease twice, or never holding it, when the response to the append is lost. */
        @Test
        void findsOwnRecordAfterLostResponse() {
            fixture.log.loseAppendResponses(1);
            LeaseHolder holder = acquired("a");
            assertThat(holder.confirmToken()).isEmpty();
            holder.acquireOrRenew();
            assertThat(holder.confirmToken()).hasValue(0);
            assertThat(recordCount()).isEqualTo(1);
        }

        /** Guards against giving commands before the log is available, and against never acquiring the lease then. */
        @Test
        void acquiresLeaseOnceLogIsAvailable() {
            fixture.log.setAvailable(false);
            LeaseHolder holder = acquired("a");
            assertThat(holder.confirmToken()).isEmpty();
            fixture.log.setAvailable(true);
            holder.acquireOrRenew();
            assertThat(holder.confirmToken()).hasValue(0);
        }
    }

    @Nested
    class Supersession {
        /** Guards against two processes that give commands to the same engine. */
        @Test
        void newerLeaseSupersedesPermanently() {
            LeaseHolder old = acquired("a");
            LeaseHolder successor = acquired("b");
            assertThat(old.confirmToken()).isEmpty();
            old.acquireOrRenew();
            assertThat(old.confirmToken()).isEmpty();
            assertThat(old.superseded()).isTrue();
            assertThat(successor.confirmToken()).hasValue(1);
        }

        /** Guards against giving commands while it cannot be read from the log whether a newer lease exists. */
        @Test
        void confirmsNoTokenDuringOutage() {
            LeaseHolder holder = acquired("a");
            fixture.log.setAvailable(false);
            assertThat(holder.confirmToken()).isEmpty();
            fixture.log.setAvailable(true);
            assertThat(holder.confirmToken()).hasValue(0);
        }

        /** Guards against a delayed append of the old holder that supersedes its successor and leaves no holder. */
        @Test
        void ignoresDelayedRecordOfPredecessor() {
            acquired("a");
            LeaseHolder successor = acquired("b");
            fixture.log.append(
                    Streams.LEASES, LeaseRecord.original("e-1", "s-1", "a").bytes());
            assertThat(successor.confirmToken()).hasValue(1);
        }

        /** Guards against a lease on another upstream that supersedes the lease on this one. */
        @Test
        void ignoresOtherUpstreams() {
            LeaseHolder holder = acquired("a");
            fixture.log.append(
                    Streams.LEASES, LeaseRecord.original("e-2", "s-2", "x").bytes());
            assertThat(holder.confirmToken()).hasValue(0);
        }
    }

    @Nested
    class Retention {
        /** Guards against losing the lease when its record expires. */
        @Test
        void copiesRecordWithOriginalTokenAfterQuarterOfRetention() {
            LeaseHolder holder = acquired("a");
            fixture.time.advance(Fixture.LOG_RETENTION.dividedBy(4));
            holder.acquireOrRenew();
            assertThat(recordCount()).isEqualTo(2);
            assertThat(LeaseRecord.parse(
                            fixture.log.records(Streams.LEASES).get(1).data()))
                    .hasValueSatisfying(copy -> assertThat(copy.tokenAt(1)).isZero());
            assertThat(holder.confirmToken()).hasValue(0);
        }

        /** Guards against a delayed copy of the previous holder that supersedes its successor. */
        @Test
        void ignoresCopyOfPredecessor() {
            acquired("a");
            LeaseHolder successor = acquired("b");
            fixture.log.append(
                    Streams.LEASES,
                    LeaseRecord.original("e-1", "s-1", "a").copyWith(0).bytes());
            assertThat(successor.confirmToken()).hasValue(1);
        }

        /** Guards against a holder that resumes after a pause in which the record of its successor expired. */
        @Test
        void unreadExpiredRecordsSupersede() {
            LeaseHolder holder = acquired("a");
            acquired("b");
            fixture.time.advance(Fixture.LOG_RETENTION.plus(Duration.ofHours(1)));
            fixture.log.dropBefore(Streams.LEASES, 2);
            assertThat(holder.confirmToken()).isEmpty();
            assertThat(holder.superseded()).isTrue();
        }
    }
}
