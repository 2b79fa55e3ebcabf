package org.masticcroft.gateway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Pattern: unlike requests that share one part of their prompts crash one engine after another. */
class PromptPartSuspectsTest {
    private static final long DEADLY = 7;
    private static final long SYSTEM = 1;

    private final PromptPartSuspects suspects = PromptPartSuspects.empty();

    private static long seconds(double seconds) {
        return (long) (seconds * 1e9);
    }

    private void crash(long process, double seconds, Long... parts) {
        suspects.recordCrash(List.of(parts), process, seconds(seconds));
    }

    private boolean refuses(double seconds, Long... parts) {
        return suspects.refuses(List.of(parts), seconds(seconds));
    }

    private static void exchange(PromptPartSuspects from, PromptPartSuspects to, double seconds) {
        to.merge(from.reports(seconds(seconds)), seconds(seconds));
    }

    @Nested
    class ACrashingPart {
        // Guards against requests that share a crashing part, no two alike, and crash one engine after another.
        @Test
        void isQuarantinedAfterTwoCrashesOfUnlikeRequests() {
            suspects.recordAnswer(List.of(SYSTEM, 20L, 30L), 0);
            crash(1, 1, SYSTEM, DEADLY, 20L);
            assertThat(refuses(1, SYSTEM, DEADLY)).isFalse();
            crash(2, 1.5, SYSTEM, 30L, DEADLY);
            assertThat(refuses(1.5, SYSTEM, 99L, DEADLY)).isTrue();
        }

        // Guards against a quarantine that ends because many upstreams crash in a short time.
        @Test
        void isNotReleasedByFurtherCrashesBetweenTheFirstOnes() {
            suspects.recordAnswer(List.of(SYSTEM), 0);
            crash(1, 1.00, SYSTEM, DEADLY);
            crash(2, 1.08, SYSTEM, DEADLY);
            assertThat(suspects.quarantined()).containsExactly(DEADLY);
            crash(3, 1.04, SYSTEM, DEADLY);
            assertThat(suspects.quarantined()).containsExactly(DEADLY);
            for (int i = 4; i <= 8; i++) {
                crash(i, 1.08 + 0.04 * (i - 3), SYSTEM, DEADLY);
                assertThat(suspects.quarantined()).containsExactly(DEADLY);
            }
        }

        // Guards against the refusal of requests that share the other parts with the crashing ones.
        @Test
        void isTheOnlyOneThatIsRefused() {
            suspects.recordAnswer(List.of(SYSTEM, 20L), 0);
            for (int i = 1; i <= 3; i++) {
                crash(i, i, SYSTEM, DEADLY, 20L);
            }
            assertThat(suspects.quarantined()).containsExactly(DEADLY);
            assertThat(refuses(3, SYSTEM, 20L)).isFalse();
        }

        // Guards against engines that crash one after another because the request that crashed one is sent again.
        @Test
        void isNotSentToAnotherUpstream() {
            suspects.recordAnswer(List.of(SYSTEM), 0);
            crash(1, 1, SYSTEM, DEADLY);
            assertThat(suspects.mayResend(List.of(SYSTEM, DEADLY))).isFalse();
            assertThat(suspects.mayResend(List.of(SYSTEM))).isTrue();
            assertThat(suspects.mayResend(List.of())).isTrue();
        }

        // Guards against the refusal of sound requests with a first part that all crashing requests had as well.
        @Test
        void isToldApartFromAPartOfTheSameRequests() {
            for (int i = 1; i <= 4; i++) {
                crash(i, i, 20L, DEADLY);
            }
            assertThat(refuses(4.1, 20L, DEADLY)).isTrue();
            assertThat(suspects.admit(List.of(20L), seconds(4.1))).isTrue();
            suspects.recordAnswer(List.of(20L), seconds(4.3));
            assertThat(suspects.quarantined()).containsExactly(DEADLY);
            assertThat(refuses(4.4, DEADLY)).isTrue();
        }

        // Guards against one trial after another of a part that crashes engines whatever else the request holds.
        @Test
        void isToldApartByOneFurtherCrash() {
            for (int i = 1; i <= 3; i++) {
                crash(i, i, 20L, DEADLY);
            }
            assertThat(suspects.admit(List.of(DEADLY), seconds(3.1))).isTrue();
            assertThat(suspects.admit(List.of(DEADLY), seconds(3.2))).isFalse();
            crash(4, 3.5, DEADLY);
            assertThat(suspects.quarantined()).containsExactly(DEADLY);
            assertThat(refuses(20, DEADLY)).isTrue();
        }

        // Guards against a release of a part while requests with it still come.
        @Test
        void isHeldWhileRequestsWithItCome() {
            for (int i = 1; i <= 5; i++) {
                crash(i, i, DEADLY);
            }
            int admitted = 0;
            for (double now = 5; now < 600; now += 0.5) {
                if (suspects.admit(List.of(DEADLY), seconds(now))) {
                    admitted++;
                }
            }
            assertThat(admitted).isLessThanOrEqualTo(1);
        }

        // Guards against a part that was harmless, for example with other weights, and crashes engines now.
        @Test
        void isQuarantinedEvenIfItWasAnsweredBefore() {
            suspects.recordAnswer(List.of(DEADLY), 0);
            for (int i = 1; i <= 3; i++) {
                crash(i, i, DEADLY);
            }
            assertThat(refuses(3, DEADLY)).isFalse();
            crash(4, 4, DEADLY);
            assertThat(refuses(4, DEADLY)).isTrue();
        }

        // Guards against a table that harmless parts fill up, so that the crashing one is not remembered.
        @Test
        void isFoundAmongManyOthers() {
            long other = 1000;
            for (int i = 1; i <= 40; i++) {
                List<Long> parts = new ArrayList<>();
                for (int j = 0; j < 10; j++) {
                    parts.add(other++);
                }
                parts.add(DEADLY);
                suspects.recordCrash(parts, i, seconds(i));
            }
            assertThat(suspects.quarantined()).contains(DEADLY);
            assertThat(suspects.suspected()).isLessThanOrEqualTo(64);
            assertThat(suspects.reports(seconds(40)))
                    .hasSizeLessThanOrEqualTo(16)
                    .anyMatch(report -> report.part() == DEADLY);
        }
    }

    @Nested
    class AHarmlessPart {
        // Guards against the quarantine of a part that requests in flight beside the crashing ones had.
        @Test
        void isClearedByAnAnswer() {
            crash(1, 1, 20L);
            suspects.recordAnswer(List.of(20L), seconds(1.2));
            crash(2, 1.5, 20L);
            crash(3, 2, 20L);
            assertThat(refuses(2, 20L)).isFalse();
        }

        // Guards against the quarantine of a rare part whose crashes the crashing part explains.
        @Test
        void isNotQuarantinedWhenAnotherPartExplainsItsCrashes() {
            crash(1, 1, 20L);
            crash(1, 1, DEADLY);
            crash(2, 2, 20L, DEADLY);
            crash(3, 3, DEADLY);
            assertThat(suspects.quarantined()).containsExactly(DEADLY);
        }

        // Guards against the quarantine of a common part after many crashes that the crashing part explains.
        @Test
        void isNotQuarantinedHoweverManyCrashesAreExplained() {
            for (int i = 1; i <= 30; i++) {
                if (i == 20) {
                    suspects.recordAnswer(List.of(20L), seconds(i - 0.5));
                }
                crash(i, i, 20L, DEADLY);
            }
            assertThat(suspects.quarantined()).containsExactly(DEADLY);
        }

        // Guards against the quarantine of a part because several engines lost power at the same moment.
        @Test
        void isNotQuarantinedByCrashesAtTheSameTime() {
            crash(1, 1, 20L);
            crash(2, 1.01, 20L);
            crash(3, 1.02, 20L);
            assertThat(refuses(1.1, 20L)).isFalse();
        }

        // Guards against counting one crash once for each request or entry that saw it.
        @Test
        void isNotQuarantinedByOneCrash() {
            for (int i = 0; i < 5; i++) {
                crash(1, 1 + i * 0.1, 20L);
            }
            assertThat(refuses(2, 20L)).isFalse();
        }

        // Guards against a harmless part that stays refused because nothing can be learned from refused requests.
        @Test
        void isReleasedAfterATrialThatIsAnswered() {
            crash(1, 1, 20L);
            crash(2, 2, 20L);
            assertThat(suspects.admit(List.of(20L), seconds(3))).isFalse();
            assertThat(suspects.admit(List.of(20L), seconds(5.1))).isTrue();
            assertThat(suspects.admit(List.of(20L), seconds(5.2))).isFalse();
            suspects.recordAnswer(List.of(20L), seconds(5.5));
            assertThat(suspects.admit(List.of(20L), seconds(5.6))).isTrue();
            assertThat(suspects.quarantined()).isEmpty();
        }

        @Test
        void isForgotten() {
            crash(1, 1, 20L);
            crash(2, 200, 30L);
            assertThat(suspects.suspected()).isEqualTo(1);
        }
    }

    @Nested
    class Reports {
        private final PromptPartSuspects other = PromptPartSuspects.empty();

        // Guards against crashes that do not add up because each entry saw only some of them.
        @Test
        void addUpCrashesOfDifferentUpstreams() {
            crash(1, 1, DEADLY);
            other.recordCrash(List.of(DEADLY), 2, seconds(2));
            exchange(suspects, other, 2);
            exchange(other, suspects, 2);
            assertThat(refuses(2, DEADLY)).isTrue();
            assertThat(other.refuses(List.of(DEADLY), seconds(2))).isTrue();
        }

        // Guards against counting a crash twice that two entries saw.
        @Test
        void countACrashOnce() {
            crash(1, 1, DEADLY);
            other.recordCrash(List.of(DEADLY), 1, seconds(1.2));
            exchange(suspects, other, 2);
            exchange(other, suspects, 2);
            assertThat(refuses(2, DEADLY)).isFalse();
        }

        // Guards against the quarantine of a part that another entry knows to be harmless.
        @Test
        void clearPartsThatAnotherEntryKnows() {
            other.recordAnswer(List.of(20L), seconds(0.5));
            crash(1, 1, 20L);
            assertThat(suspects.mayResend(List.of(20L))).isFalse();
            exchange(suspects, other, 1);
            exchange(other, suspects, 1);
            assertThat(suspects.mayResend(List.of(20L))).isTrue();
            crash(2, 1.5, 20L);
            assertThat(refuses(1.5, 20L)).isFalse();
        }

        // Guards against datagrams that processes send to each other without end.
        @Test
        void endOnceAllProcessesKnowTheSame() {
            other.recordAnswer(List.of(20L), seconds(2.5));
            crash(1, 1, DEADLY, 20L);
            double now = 3;
            for (int i = 0; i < 3; i++) {
                now += 0.05;
                exchange(suspects, other, now);
                now += 0.05;
                exchange(other, suspects, now);
            }
            now += 0.05;
            PromptPartSuspects.Merged nothing = new PromptPartSuspects.Merged(Set.of(), Set.of());
            assertThat(suspects.merge(other.reports(seconds(now)), seconds(now + 0.05)))
                    .isEqualTo(nothing);
            assertThat(other.merge(suspects.reports(seconds(now)), seconds(now + 0.05)))
                    .isEqualTo(nothing);
        }

        // Guards against an entry that starts anew and sends requests that the others refuse.
        @Test
        void bringAnEmptyProcessUpToDate() {
            crash(1, 1, DEADLY);
            crash(2, 2, DEADLY);
            crash(3, 3, DEADLY);
            exchange(suspects, other, 10);
            assertThat(other.refuses(List.of(DEADLY), seconds(10))).isTrue();
        }

        // Guards against trials of all entries at once.
        @Test
        void shareTrials() {
            crash(1, 1, DEADLY);
            crash(2, 2, DEADLY);
            exchange(suspects, other, 2);
            assertThat(suspects.admit(List.of(DEADLY), seconds(5.1))).isTrue();
            exchange(suspects, other, 5.15);
            assertThat(other.admit(List.of(DEADLY), seconds(5.2))).isFalse();
        }

        // Guards against a part that the processes remember without end because their reports renew each other.
        @Test
        void doNotKeepAPartThatNoRequestHas() {
            List<PromptPartSuspects> processes = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                processes.add(PromptPartSuspects.empty());
            }
            processes.get(0).recordCrash(List.of(20L), 1, 0);
            Random random = new Random(1);
            for (double now = 0; now < 130; now += 0.005) {
                List<PartReport> reports = processes.get(random.nextInt(20)).reports(seconds(now));
                processes.get(random.nextInt(20)).merge(reports, seconds(now + 0.03));
            }
            assertThat(processes)
                    .allMatch(process -> process.reports(seconds(130)).isEmpty());
        }

        // Guards against a different result when datagrams are lost, repeated or late.
        @Test
        void giveTheSameResultInAnyOrder() {
            for (int seed = 0; seed < 50; seed++) {
                Random random = new Random(seed);
                List<PromptPartSuspects> entries = new ArrayList<>();
                for (int i = 0; i < 5; i++) {
                    entries.add(PromptPartSuspects.empty());
                }
                for (int i = 1; i <= 3; i++) {
                    entries.get(random.nextInt(5)).recordCrash(List.of(DEADLY), i, seconds(i));
                }
                double now = 4;
                for (int i = 0; i < 400; i++) {
                    now += 0.002;
                    exchange(entries.get(random.nextInt(5)), entries.get(random.nextInt(5)), now);
                }
                double end = now;
                assertThat(entries)
                        .as("seed " + seed)
                        .allMatch(entry ->
                                entry.quarantined().contains(DEADLY) && entry.refuses(List.of(DEADLY), seconds(end)));
            }
        }
    }
}
