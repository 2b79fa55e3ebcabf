package org.masticcroft.gateway.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.dispatch.PromptPartSuspects;
import org.masticcroft.gateway.generated.Datagram;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.kernel.time.ManualTimeSource;

/** Pattern: engines break off requests with parts of prompts that other engines answer, on a fleet of many sidecars. */
class EvidenceFleetTest {
    private static final int ENTRIES = 15;
    private static final int SIDECARS = 56;
    private static final int REGIONS = 3;
    private static final int PORT = 7000;

    /** Bytes of the headers of a datagram: Ethernet, IP and UDP. */
    private static final int HEADER_BYTES = 42;

    /** A tenth of the links between regions, in bytes per second; the rest is for requests, weights and the store. */
    private static final long MAX_LINK_BYTES_PER_SECOND = 24_000_000L / 8 / 10;

    /** Entries and sidecars whose datagrams arrive after a delay, on a clock of their own. */
    private static final class Fleet {
        private static final Duration TRANSIT = Duration.ofMillis(2);
        private static final Duration EXCHANGE_INTERVAL = Duration.ofSeconds(1);

        private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
        private final PriorityQueue<Task> tasks =
                new PriorityQueue<>(Comparator.comparingLong(Task::dueNanos).thenComparingLong(Task::number));
        private final List<PromptPartSuspects> parts = new ArrayList<>();
        private final List<EntryEvidence> entries = new ArrayList<>();
        private final List<SidecarEvidence> sidecars = new ArrayList<>();
        private final Random random;
        private final double lossShare;
        private final long[][] linkBytes = new long[REGIONS][REGIONS];
        private long datagrams;
        private long taskNumber;

        private record Task(long dueNanos, long number, Runnable action) {}

        Fleet(int sidecarCount, double lossShare, long seed) {
            this.lossShare = lossShare;
            this.random = new Random(seed);
            List<Address> sidecarAddresses = new ArrayList<>();
            List<Address> entryAddresses = new ArrayList<>();
            for (int i = 0; i < sidecarCount; i++) {
                Address own = new Address("10." + i % REGIONS + ".1." + i, PORT);
                sidecarAddresses.add(own);
                sidecars.add(new SidecarEvidence(time, () -> entryAddresses, (to, data) -> send(own, to, data)));
            }
            for (int i = 0; i < ENTRIES; i++) {
                Address own = new Address("10." + i % REGIONS + ".2." + i, PORT);
                entryAddresses.add(own);
                PromptPartSuspects known = PromptPartSuspects.empty();
                parts.add(known);
                EntryEvidence entry = new EntryEvidence(
                        time, known, () -> sidecarAddresses, (to, data) -> send(own, to, data), this::after);
                entries.add(entry);
                every(EXCHANGE_INTERVAL, Duration.ofMillis(random.nextInt(1000)), entry::exchange);
            }
        }

        private static int region(Address address) {
            return Integer.parseInt(address.ip().split("\\.")[1]);
        }

        private void send(Address from, Address to, Datagram datagram) {
            datagrams++;
            linkBytes[region(from)][region(to)] += HEADER_BYTES + datagram.getSerializedSize();
            if (random.nextDouble() < lossShare) {
                return;
            }
            int number = Integer.parseInt(to.ip().split("\\.")[3]);
            boolean toEntry = to.ip().split("\\.")[2].equals("2");
            after(
                    () -> {
                        if (toEntry) {
                            entries.get(number).receive(from, datagram.getEvidence());
                        } else {
                            sidecars.get(number).receive(from, datagram.getEvidence());
                        }
                    },
                    TRANSIT);
        }

        private void after(Runnable action, Duration delay) {
            tasks.add(new Task(time.nanoTime() + delay.toNanos(), taskNumber++, action));
        }

        private void every(Duration interval, Duration first, Runnable action) {
            after(
                    () -> {
                        action.run();
                        every(interval, interval, action);
                    },
                    first);
        }

        void run(Duration duration) {
            long endNanos = time.nanoTime() + duration.toNanos();
            while (!tasks.isEmpty() && tasks.peek().dueNanos() <= endNanos) {
                Task task = tasks.poll();
                time.advance(Duration.ofNanos(task.dueNanos() - time.nanoTime()));
                task.action().run();
            }
            time.advance(Duration.ofNanos(endNanos - time.nanoTime()));
        }

        void crash(int entry, long process, long... crashed) {
            List<Long> ids = new ArrayList<>();
            for (long part : crashed) {
                ids.add(part);
            }
            parts.get(entry).recordCrash(ids, process, time.nanoTime());
            entries.get(entry).tell(ids);
        }

        void answer(int entry, long part) {
            if (parts.get(entry).recordAnswer(List.of(part), time.nanoTime())) {
                entries.get(entry).tell(List.of(part));
            }
        }

        /** Returns the bytes sent over the fullest of the links between regions. */
        long fullestLinkBytes() {
            long most = 0;
            for (int from = 0; from < REGIONS; from++) {
                for (int to = 0; to < REGIONS; to++) {
                    most = from == to ? most : Math.max(most, linkBytes[from][to]);
                }
            }
            return most;
        }

        boolean allRefuse(long part) {
            return parts.stream().allMatch(known -> known.refuses(List.of(part), time.nanoTime()));
        }

        boolean noneRefuses(long part) {
            return parts.stream().noneMatch(known -> known.refuses(List.of(part), time.nanoTime()));
        }
    }

    @Nested
    class Crashes {
        // Guards against links between regions that evidence fills, so that connections and the store are lost.
        @Test
        void ofAnsweredPartsLeaveTheLinksToOthers() {
            Fleet fleet = new Fleet(SIDECARS, 0, 44);
            Random random = new Random(44);
            // 30 requests a second are broken off, and each of 60 parts is answered at each entry about once a second.
            fleet.every(
                    Duration.ofNanos(33_333_333),
                    Duration.ZERO,
                    () -> fleet.crash(random.nextInt(ENTRIES), random.nextInt(SIDECARS), 1, 2 + random.nextInt(60)));
            fleet.every(
                    Duration.ofMillis(1),
                    Duration.ZERO,
                    () -> fleet.answer(random.nextInt(ENTRIES), 2 + random.nextInt(60)));
            fleet.every(Duration.ofMillis(2), Duration.ZERO, () -> fleet.answer(random.nextInt(ENTRIES), 1));
            int seconds = 5;
            fleet.run(Duration.ofSeconds(seconds));
            assertThat(fleet.fullestLinkBytes() / seconds).isLessThan(MAX_LINK_BYTES_PER_SECOND);
        }

        // Guards against datagrams for each piece of news that grow with the product of entries and sidecars.
        @Test
        void areToldInDatagramsThatDoNotGrowWithTheSidecars() {
            assertThat(datagramsForACrash(4 * SIDECARS)).isLessThan(2 * datagramsForACrash(SIDECARS));
            assertThat(datagramsForACrash(SIDECARS)).isLessThan(20 * ENTRIES);
        }

        private long datagramsForACrash(int sidecars) {
            Fleet fleet = new Fleet(sidecars, 0, 1);
            fleet.run(Duration.ofSeconds(3));
            long before = fleet.datagrams;
            fleet.crash(0, 1, 7);
            fleet.run(Duration.ofSeconds(1));
            return fleet.datagrams - before;
        }

        // Guards against entries that go on sending a part that crashes engines.
        @Test
        void areKnownToAllEntriesAtOnce() {
            Fleet fleet = new Fleet(SIDECARS, 0, 2);
            fleet.run(Duration.ofSeconds(2));
            fleet.crash(0, 1, 7);
            fleet.run(Duration.ofMillis(500));
            fleet.crash(1, 2, 7);
            fleet.run(Duration.ofMillis(120));
            assertThat(fleet.allRefuse(7)).isTrue();
        }

        // Guards against evidence that datagrams lost on the way keep from an entry.
        @Test
        void areKnownToAllEntriesAlthoughDatagramsAreLost() {
            for (int seed = 0; seed < 20; seed++) {
                Fleet fleet = new Fleet(SIDECARS, 0.5, seed);
                fleet.run(Duration.ofSeconds(2));
                fleet.crash(0, 1, 7);
                fleet.run(Duration.ofMillis(500));
                fleet.crash(1, 2, 7);
                fleet.run(Duration.ofMillis(2500));
                assertThat(fleet.allRefuse(7)).as("seed %d", seed).isTrue();
            }
        }
    }

    @Nested
    class AnAnswer {
        // Guards against the refusal of a sound part that one entry knows to be answered.
        @Test
        void atOneEntryEndsTheQuarantineAtAll() {
            Fleet fleet = new Fleet(SIDECARS, 0, 3);
            fleet.run(Duration.ofSeconds(2));
            fleet.crash(0, 1, 7);
            fleet.run(Duration.ofMillis(100));
            fleet.crash(1, 2, 7);
            fleet.run(Duration.ofMillis(100));
            fleet.answer(2, 7);
            fleet.run(Duration.ofMillis(120));
            assertThat(fleet.noneRefuses(7)).isTrue();
        }

        // Guards against a quarantine of a part that another entry has cleared before.
        @Test
        void betweenTwoCrashesKeepsThePartInUse() {
            Fleet fleet = new Fleet(SIDECARS, 0, 4);
            fleet.run(Duration.ofSeconds(2));
            fleet.crash(0, 1, 7);
            fleet.run(Duration.ofMillis(300));
            fleet.answer(2, 7);
            fleet.run(Duration.ofMillis(300));
            fleet.crash(1, 2, 7);
            fleet.run(Duration.ofMillis(120));
            assertThat(fleet.noneRefuses(7)).isTrue();
        }
    }
}
