package org.masticcroft.experiments.rollout;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticcroft.experiments.replay.EventLoop;
import org.masticcroft.experiments.replay.FakeLink;
import org.masticcroft.kernel.rollout.FetchPlanner;

/**
 * Simulates machines in three regions that fetch one set of weights as a planner decides.
 *
 * <p>A model of 256 MiB and a window of 300 s match the link rates: four copies per window are 28.6 Mbit/s at the
 * origin, two copies are 14.3 Mbit/s per machine, and one copy takes 239 s over 60 % of a 15 Mbit/s link.
 */
final class RolloutReplay {
    static final int REGIONS = 3;
    static final int CHUNKS = 256;
    static final long CHUNK_BYTES = 1 << 20;
    static final double WINDOW_SECONDS = 300;
    static final double MODEL_BITS = CHUNKS * CHUNK_BYTES * 8.0;
    static final double ORIGIN_BITS_PER_SECOND = 4 * MODEL_BITS / WINDOW_SECONDS;
    static final double MACHINE_BITS_PER_SECOND = 2 * MODEL_BITS / WINDOW_SECONDS;

    /** Bulk transfers may use 60 % of the 15 Mbit/s link between two regions. */
    static final double INTER_REGION_BITS_PER_SECOND = 0.6 * 15e6;

    private static final long REFRESH_INTERVAL_NANOS = 500_000_000L;
    private static final long INSTANCE_LIST_LAG_NANOS = 5_000_000_000L;
    private static final double DEATH_PROBABILITY = 0.05;
    private static final double CORRUPTION_PROBABILITY = 0.01;
    private static final double SLOW_ORIGIN_FACTOR = 0.1;

    private final EventLoop loop = EventLoop.empty();
    private final FetchPlanner planner;
    private final RolloutFault fault;
    private final UniformRandomProvider random;
    private final List<List<RolloutMachine>> regions = new ArrayList<>();
    private final List<List<String>> listedMembers = new ArrayList<>();
    private final FakeLink[][] interRegionLinks = new FakeLink[REGIONS][REGIONS];
    private final FakeLink origin = FakeLink.of(ORIGIN_BITS_PER_SECOND, loop);
    private boolean originGone;
    private long startNanos;

    RolloutReplay(FetchPlanner planner, int replicas, RolloutFault fault, long seed) {
        this.planner = planner;
        this.fault = fault;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int region = 0; region < REGIONS; region++) {
            regions.add(new ArrayList<>());
            listedMembers.add(new ArrayList<>());
            for (int other = 0; other < REGIONS; other++) {
                interRegionLinks[region][other] = FakeLink.of(INTER_REGION_BITS_PER_SECOND, loop);
            }
        }
        for (int number = 0; number < replicas; number++) {
            int region = number % REGIONS;
            RolloutMachine machine = new RolloutMachine("machine-" + number, region, this);
            regions.get(region).add(machine);
            listedMembers.get(region).add(machine.name());
        }
    }

    EventLoop loop() {
        return loop;
    }

    FetchPlanner planner() {
        return planner;
    }

    UniformRandomProvider random() {
        return random;
    }

    FakeLink origin() {
        return origin;
    }

    FakeLink interRegionLink(int from, int to) {
        return interRegionLinks[from][to];
    }

    boolean isOriginGone() {
        return originGone;
    }

    List<RolloutMachine> region(int region) {
        return regions.get(region);
    }

    /** Returns the members of a region in the instance list, which lags behind machine failures. */
    List<String> listedMembers(int region) {
        return listedMembers.get(region);
    }

    boolean isCorrupted() {
        return fault == RolloutFault.CORRUPTION && random.nextDouble() < CORRUPTION_PROBABILITY;
    }

    /** Applies origin faults once the origin has sent one copy; called after each chunk that it sends. */
    void onOriginFetch() {
        if (origin.bytesSent() >= CHUNKS * CHUNK_BYTES) {
            originGone = fault == RolloutFault.ORIGIN_GONE;
            if (fault == RolloutFault.ORIGIN_SLOW) {
                origin.changeRate(ORIGIN_BITS_PER_SECOND * SLOW_ORIGIN_FACTOR);
            }
        }
    }

    /**
     * Runs until every live machine is complete or the time limit has passed.
     *
     * @param endSeconds time limit, counted from the change to a new version if there is one
     * @param faultSeconds time of the change to a new version, and the time by which machines have failed
     */
    Result run(double endSeconds, double faultSeconds) {
        for (RolloutMachine machine : allMachines()) {
            loop.scheduleAt((long) (random.nextDouble() * REFRESH_INTERVAL_NANOS), () -> runMachine(machine));
            if (fault == RolloutFault.DEATHS && random.nextDouble() < DEATH_PROBABILITY) {
                loop.scheduleAt((long) (random.nextDouble() * faultSeconds * 1e9), () -> crash(machine));
            }
        }
        long originBytesBefore = 0;
        long[] interRegionBytesBefore = new long[REGIONS];
        if (fault == RolloutFault.NEW_VERSION) {
            loop.runUntil((long) (faultSeconds * 1e9));
            startNanos = loop.nowNanos();
            originBytesBefore = origin.bytesSent();
            for (int region = 0; region < REGIONS; region++) {
                interRegionBytesBefore[region] = interRegionBytesTo(region);
            }
            allMachines().forEach(RolloutMachine::restart);
        }
        while (!isComplete() && loop.nowNanos() < (long) (endSeconds * 1e9) + startNanos) {
            loop.runUntil(loop.nowNanos() + REFRESH_INTERVAL_NANOS / 5);
        }
        double copyBytes = CHUNKS * CHUNK_BYTES;
        double maxInterRegionCopies = 0;
        for (int region = 1; region < REGIONS; region++) {
            maxInterRegionCopies = Math.max(
                    maxInterRegionCopies, (interRegionBytesTo(region) - interRegionBytesBefore[region]) / copyBytes);
        }
        double complete =
                allMachines().stream().filter(RolloutMachine::isComplete).count();
        double live =
                allMachines().stream().filter(machine -> !machine.isDead()).count();
        return new Result(
                (loop.nowNanos() - startNanos) / 1e9,
                complete / live,
                (origin.bytesSent() - originBytesBefore) / copyBytes,
                maxInterRegionCopies);
    }

    private long interRegionBytesTo(int region) {
        long bytes = 0;
        for (int from = 0; from < REGIONS; from++) {
            bytes += interRegionLinks[from][region].bytesSent();
        }
        return bytes;
    }

    private void runMachine(RolloutMachine machine) {
        if (!machine.isDead()) {
            machine.refreshPeers();
            machine.fetchMore();
            loop.scheduleAfter(REFRESH_INTERVAL_NANOS, () -> runMachine(machine));
        }
    }

    private void crash(RolloutMachine machine) {
        machine.crash();
        loop.scheduleAfter(
                INSTANCE_LIST_LAG_NANOS,
                () -> listedMembers.get(machine.region()).remove(machine.name()));
    }

    private boolean isComplete() {
        return allMachines().stream().allMatch(machine -> machine.isDead() || machine.isComplete());
    }

    private List<RolloutMachine> allMachines() {
        return regions.stream().flatMap(List::stream).toList();
    }

    /**
     * Result of a rollout.
     *
     * @param seconds time until all live machines were complete, or until the time limit
     * @param completeFraction fraction of the live machines that is complete
     * @param originCopies copies fetched from the origin
     * @param interRegionCopies copies sent from other regions to the region that received most
     */
    record Result(double seconds, double completeFraction, double originCopies, double interRegionCopies) {}
}
