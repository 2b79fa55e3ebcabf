package org.masticcroft.entry.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.entry.EntryFixture;
import org.masticcroft.entry.EntryFixture.FakeCall;
import org.masticcroft.entry.EntryFixture.FakeSink;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.SuspectNotice;

class PoisonTest {
    private static final String POISON = EntryFixture.CHAT + ",\"user\":\"poison\"}";

    private final EntryFixture entry = EntryFixture.create();

    private void crash(FakeCall call) {
        call.started("i-" + call.port()).crash();
    }

    @Nested
    class APoisonRequest {
        /** Guards against a request that is retried on one upstream after another and crashes them all. */
        @Test
        void crashesAtMostTwoUpstreams() {
            entry.otherEntry("entry-b", 9100);
            FakeSink caller = entry.chat(POISON);
            crash(entry.peers.last());
            crash(entry.peers.last());
            assertThat(caller.code()).isEqualTo(ErrorCode.QUARANTINED);
            assertThat(caller.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
            FakeSink resent = entry.chat(POISON);
            assertThat(resent.code()).isEqualTo(ErrorCode.QUARANTINED);
            assertThat(resent.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(entry.peers.calls).hasSize(2);
            assertThat(entry.peers.otherRequests.stream()
                            .filter(Envelope::hasSuspectNotice)
                            .map(notice -> notice.getSuspectNotice().getCrashCount()))
                    .containsExactly(1, 2);
        }

        /** Guards against a caller that resends a poison request to other entries. */
        @Test
        void isQuarantinedAfterANoticeOfAnotherEntry() {
            entry.chat(POISON);
            String fingerprint = entry.peers.last().dispatch.getFingerprint();
            EntryFixture other = EntryFixture.create();
            other.callAsPeer(Envelope.newBuilder()
                    .setSuspectNotice(SuspectNotice.newBuilder()
                            .setFingerprint(fingerprint)
                            .setCrashCount(2)));
            assertThat(other.chat(POISON).code()).isEqualTo(ErrorCode.QUARANTINED);
            assertThat(other.peers.calls).isEmpty();
        }
    }

    @Nested
    class OtherRequests {
        /** Guards against the quarantine of requests that only shared an upstream with a suspect. */
        @Test
        void areNotSuspectedWhenASuspectCrashesTheirUpstream() {
            SuspectTable suspects = entry.components.suspects();
            suspects.onStart("e1", "poison");
            assertThat(suspects.onCrash("e1", "i1", "poison")).isEqualTo(1);
            suspects.onEnd("e1", "poison");
            for (String fingerprint : List.of("poison", "x", "y")) {
                suspects.onStart("e2", fingerprint);
            }
            assertThat(suspects.onCrash("e2", "i2", "x")).isZero();
            suspects.onEnd("e2", "x");
            assertThat(suspects.onCrash("e2", "i2", "poison")).isEqualTo(2);
            suspects.onEnd("e2", "poison");
            assertThat(suspects.onCrash("e2", "i2", "y")).isZero();
        }

        /** Guards against two suspects on one upstream, where a crash could not be attributed to one of them. */
        @Test
        void thatAreSuspectsAreKeptApart() {
            SuspectTable suspects = entry.components.suspects();
            suspects.onNotice("x", 1);
            suspects.onNotice("y", 1);
            suspects.onStart("e1", "x");
            assertThat(suspects.mayRunOn("e1", "y")).isFalse();
            assertThat(suspects.mayRunOn("e2", "y")).isTrue();
            assertThat(suspects.mayRunOn("e1", "innocent")).isTrue();
            suspects.onEnd("e1", "x");
            assertThat(suspects.mayRunOn("e1", "y")).isTrue();
        }
    }
}
