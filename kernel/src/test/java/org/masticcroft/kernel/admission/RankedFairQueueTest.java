package org.masticcroft.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.config.RankConfig;
import org.masticcroft.kernel.error.ErrorCode;

class RankedFairQueueTest {
    private static final int QUEUE_LIMIT = 8;

    private static SortedMap<String, RankConfig> ranks() {
        SortedMap<String, RankConfig> ranks = new TreeMap<>();
        ranks.put("urgent", new RankConfig(0, 0.5, Duration.ofSeconds(1), QUEUE_LIMIT));
        ranks.put("background", new RankConfig(1, 0.25, Duration.ofMinutes(1), QUEUE_LIMIT));
        return ranks;
    }

    private static Ticket ticket(String id, String customer, String rank) {
        return new Ticket(id, customer, 1, rank, 100, 0);
    }

    /** Guards against tickets that are lost, duplicated or displaced twice, for any order of operations. */
    @Property(seed = "7", tries = 300)
    void keepsEveryTicketExactlyOnce(@ForAll @Size(max = 80) List<@IntRange(max = 29) Integer> operations) {
        AdmissionQueue queue = RankedFairQueue.of(ranks());
        Set<String> waiting = new HashSet<>();
        Set<Ticket> running = new HashSet<>();
        int number = 0;
        for (int operation : operations) {
            Ticket ticket = ticket("r" + number++, "c" + operation % 5, operation % 2 == 0 ? "urgent" : "background");
            if (operation < 18) {
                if (queue.offer(ticket, number) instanceof Admission.Queued queued) {
                    waiting.add(ticket.requestId());
                    queued.displaced()
                            .forEach(displaced -> assertThat(waiting.remove(displaced.requestId()))
                                    .isTrue());
                }
            } else if (operation < 26) {
                Optional<Ticket> next = queue.poll(number);
                assertThat(next.isPresent()).isEqualTo(!waiting.isEmpty());
                next.ifPresent(
                        polled -> assertThat(waiting.remove(polled.requestId())).isTrue());
                next.ifPresent(running::add);
            } else {
                running.forEach(finished -> queue.finish(finished, 50, 0));
                running.clear();
            }
            assertThat(queue.waiting()).isEqualTo(waiting.size());
        }
    }

    @Nested
    class Poll {
        /** Guards against a rank that delays a more urgent one although it has its guaranteed share. */
        @Test
        void servesTheMostUrgentRankFirst() {
            AdmissionQueue queue = RankedFairQueue.of(ranks());
            queue.offer(ticket("a", "c1", "background"), 0);
            queue.poll(0);
            queue.offer(ticket("b", "c1", "background"), 0);
            queue.offer(ticket("c", "c1", "urgent"), 0);
            assertThat(queue.poll(0)).map(Ticket::requestId).contains("c");
        }

        /** Guards against a burst of urgent requests that pushes another rank below its guaranteed share. */
        @Test
        void keepsTheGuaranteedShareOfALowerRank() {
            AdmissionQueue queue = RankedFairQueue.of(ranks());
            int background = 0;
            for (int number = 0; number < 40; number++) {
                queue.offer(ticket("u" + number, "c1", "urgent"), 0);
                queue.offer(ticket("l" + number, "c1", "background"), 0);
                background += queue.poll(0).orElseThrow().rank().equals("background") ? 1 : 0;
            }
            assertThat(background).isBetween(9, 11);
        }

        /** Guards against a customer with many requests that delays a customer with few. */
        @Test
        void alternatesBetweenCustomersByCost() {
            AdmissionQueue queue = RankedFairQueue.of(ranks());
            queue.offer(ticket("a1", "a", "urgent"), 0);
            queue.offer(ticket("a2", "a", "urgent"), 0);
            queue.offer(ticket("a3", "a", "urgent"), 0);
            queue.offer(ticket("b1", "b", "urgent"), 0);
            queue.poll(0);
            assertThat(queue.poll(0)).map(Ticket::customer).contains("b");
        }
    }

    @Nested
    class Offer {
        /** Guards against one customer that fills the queue, so that other customers are refused. */
        @Test
        void leavesPlacesForOtherCustomers() {
            AdmissionQueue queue = RankedFairQueue.of(ranks());
            Admission last = null;
            for (int number = 0; number < 2 * QUEUE_LIMIT; number++) {
                last = queue.offer(ticket("a" + number, "a", "background"), 0);
            }
            assertThat(last)
                    .isInstanceOfSatisfying(
                            Admission.Refused.class,
                            refused -> assertThat(refused.code()).isEqualTo(ErrorCode.QUEUE_FULL));
            assertThat(queue.waiting()).isEqualTo(QUEUE_LIMIT / 2);
            assertThat(queue.offer(ticket("b", "b", "background"), 0))
                    .isEqualTo(Admission.Queued.withoutDisplacement());
        }

        /** Guards against requests that wait although they can no longer meet their first-token target. */
        @Test
        void refusesTicketsThatCannotMeetTheirTarget() {
            AdmissionQueue queue = RankedFairQueue.of(ranks());
            queue.offer(ticket("a1", "a", "urgent"), 0);
            queue.offer(ticket("a2", "a", "urgent"), 0);
            queue.poll(0);
            long later = Duration.ofSeconds(2).toNanos();
            assertThat(queue.offer(ticket("a3", "a", "urgent"), later))
                    .isInstanceOfSatisfying(
                            Admission.Refused.class,
                            refused -> assertThat(refused.code()).isEqualTo(ErrorCode.TARGET_UNREACHABLE));
        }

        /** Guards against a preempted request that is refused by a full queue although it was accepted before. */
        @Test
        void requeuesPreemptedTicketsBeyondTheQueueLimit() {
            AdmissionQueue queue = RankedFairQueue.of(ranks());
            for (int number = 0; number < 2 * QUEUE_LIMIT; number++) {
                queue.requeue(ticket("a" + number, "a", "background"), 0);
            }
            assertThat(queue.waiting()).isEqualTo(2 * QUEUE_LIMIT);
        }
    }

    @Nested
    class Preemption {
        private final PreemptionPolicy policy = new SharePreservingPreemption();

        /** Guards against preemption that pushes a less urgent rank below its guaranteed share. */
        @Test
        void doesNotPreemptARankWithinItsShare() {
            Ticket urgent = ticket("u", "c", "urgent");
            List<Ticket> mostlyUrgent = List.of(
                    ticket("1", "x", "urgent"),
                    ticket("2", "y", "urgent"),
                    ticket("3", "z", "urgent"),
                    ticket("4", "c", "background"));
            assertThat(policy.victim(urgent, mostlyUrgent, ranks())).isEmpty();
            List<Ticket> allBackground = List.of(ticket("1", "x", "background"), ticket("2", "y", "background"));
            assertThat(policy.victim(urgent, allBackground, ranks())).isPresent();
        }

        /** Guards against customers with similar numbers of slots that preempt each other in turn. */
        @Test
        void doesNotPreemptACustomerWithSimilarUse() {
            Ticket small = ticket("s", "small", "urgent");
            List<Ticket> similar = List.of(ticket("1", "x", "urgent"), ticket("2", "x", "urgent"));
            assertThat(policy.victim(small, similar, ranks())).isEmpty();
            List<Ticket> large =
                    List.of(ticket("1", "x", "urgent"), ticket("2", "x", "urgent"), ticket("3", "x", "urgent"));
            assertThat(policy.victim(small, large, ranks())).isPresent();
        }
    }
}
