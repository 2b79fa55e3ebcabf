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
                Fixture.RETENTION);
    }

    private LeaseHolder acquired(String incarnation) {
        LeaseHolder holder = holder(incarnation);
        holder.acquireOrRenew();
        return holder;
    }

    private int appended() {
        return fixture.log.records(Streams.LEASES).size();
    }

    @Nested
    class Acquisition {
        /** Guards against a second lease record, and against none, when the response of the append is lost. */
        @Test
        void findsOwnRecordAfterLostResponse() {
            fixture.log.loseAppendResponses(1);
            LeaseHolder holder = acquired("a");
            assertThat(holder.confirmToken()).isEmpty();
            holder.acquireOrRenew();
            assertThat(holder.confirmToken()).hasValue(0);
            assertThat(appended()).isEqualTo(1);
        }

        /** Guards against commands before the log is back. */
        @Test
        void waitsForTheLog() {
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
        /** Guards against two processes that both command one engine. */
        @Test
        void stopsForGoodWhenNewerLeaseExists() {
            LeaseHolder old = acquired("a");
            LeaseHolder successor = acquired("b");
            assertThat(old.confirmToken()).isEmpty();
            old.acquireOrRenew();
            assertThat(old.confirmToken()).isEmpty();
            assertThat(old.superseded()).isTrue();
            assertThat(successor.confirmToken()).hasValue(1);
        }

        /** Guards against a command while the log cannot show whether a newer lease exists. */
        @Test
        void permitsNothingDuringOutage() {
            LeaseHolder holder = acquired("a");
            fixture.log.setAvailable(false);
            assertThat(holder.confirmToken()).isEmpty();
            fixture.log.setAvailable(true);
            assertThat(holder.confirmToken()).hasValue(0);
        }

        /** Guards against an append of the old holder that takes effect late and stops both holders. */
        @Test
        void ignoresDelayedRecordOfPredecessor() {
            acquired("a");
            LeaseHolder successor = acquired("b");
            fixture.log.append(
                    Streams.LEASES, LeaseRecord.original("e-1", "s-1", "a").bytes());
            assertThat(successor.confirmToken()).hasValue(1);
        }

        /** Guards against the lease of another upstream being taken for one's own. */
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
        /** Guards against the loss of the lease when its record expires. */
        @Test
        void copiesRecordWithOriginalTokenAtAQuarterOfTheRetention() {
            LeaseHolder holder = acquired("a");
            fixture.time.advance(Fixture.RETENTION.dividedBy(4));
            holder.acquireOrRenew();
            assertThat(appended()).isEqualTo(2);
            assertThat(LeaseRecord.parse(
                            fixture.log.records(Streams.LEASES).get(1).data()))
                    .hasValueSatisfying(copy -> assertThat(copy.tokenAt(1)).isZero());
            assertThat(holder.confirmToken()).hasValue(0);
        }

        /** Guards against a late copy of the old holder that supersedes its successor. */
        @Test
        void copyOfOldHolderChangesNothing() {
            acquired("a");
            LeaseHolder successor = acquired("b");
            fixture.log.append(
                    Streams.LEASES,
                    LeaseRecord.original("e-1", "s-1", "a").copyWith(0).bytes());
            assertThat(successor.confirmToken()).hasValue(1);
        }

        /** Guards against a holder that was paused while the record of its successor expired. */
        @Test
        void stopsWhenRecordsExpiredUnread() {
            LeaseHolder holder = acquired("a");
            acquired("b");
            fixture.time.advance(Fixture.RETENTION.plus(Duration.ofHours(1)));
            fixture.log.dropBefore(Streams.LEASES, 2);
            assertThat(holder.confirmToken()).isEmpty();
            assertThat(holder.superseded()).isTrue();
        }
    }
}
