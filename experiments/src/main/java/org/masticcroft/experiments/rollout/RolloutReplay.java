package org.masticcroft.experiments.rollout;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticcroft.experiments.replay.EventLoop;
import org.masticcroft.experiments.replay.LinkFake;
import org.masticcroft.kernel.rollout.FetchPlanner;

/**
 * Machines in three regions fetch one set of weights by a planner's decisions.
 *
 * <p>A model of 256 MiB and a window of 300 s are consistent with the links: four copies per window are 28.6 Mbit/s at
 * the origin, two copies are 14.3 Mbit/s per machine, and one copy crosses 60 % of a link of 15 Mbit/s in 239 s.
 */
final class RolloutReplay {
    static final int REGIONS = 3;
    static final int CHUNKS = 256;
    static final long CHUNK_BYTES = 1 << 20;
    static final double WINDOW_SECONDS = 300;
    static final double MODEL_BITS = CHUNKS * CHUNK_BYTES * 8.0;
    static final double ORIGIN_BITS_PER_SECOND = 4 * MODEL_BITS / WINDOW_SECONDS;
    static final double MACHINE_BITS_PER_SECOND = 2 * MODEL_BITS / WINDOW_SECONDS;

    /** Bulk transfers may use 60 % of the link between two regions. */
    static final double CROSS_BITS_PER_SECOND = 0.6 * 15e6;

    private static final long TICK_NANOS = 500_000_000L;
    private static final long LIST_LAG_NANOS = 5_000_000_000L;
    private static final double DEATHS = 0.05;
    private static final double CORRUPTION = 0.01;
    private static final double SLOW_ORIGIN = 0.1;

    private final EventLoop loop = EventLoop.empty();
    private final FetchPlanner planner;
    private final RolloutFault fault;
    private final UniformRandomProvider random;
    private final List<List<RolloutMachine>> regions = new ArrayList<>();
    private final List<List<String>> listed = new ArrayList<>();
    private final LinkFake[][] cross = new LinkFake[REGIONS][REGIONS];
    private final LinkFake origin = LinkFake.of(ORIGIN_BITS_PER_SECOND, loop);
    private boolean originGone;
    private long startNanos;

    RolloutReplay(FetchPlanner planner, int replicas, RolloutFault fault, long seed) {
        this.planner = planner;
        this.fault = fault;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int region = 0; region < REGIONS; region++) {
            regions.add(new ArrayList<>());
            listed.add(new ArrayList<>());
            for (int other = 0; other < REGIONS; other++) {
                cross[region][other] = LinkFake.of(CROSS_BITS_PER_SECOND, loop);
            }
        }
        for (int number = 0; number < replicas; number++) {
            int region = number % REGIONS;
            RolloutMachine machine = new RolloutMachine("machine-" + number, region, this);
            regions.get(region).add(machine);
            listed.get(region).add(machine.name());
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

    LinkFake origin() {
        return origin;
    }

    LinkFake cross(int from, int to) {
        return cross[from][to];
    }

    boolean isOriginGone() {
        return originGone;
    }

    List<RolloutMachine> region(int region) {
        return regions.get(region);
    }

    /** Returns the members of a region by the instance list, which lags behind deaths. */
    List<String> listed(int region) {
        return listed.get(region);
    }

    boolean isCorrupted() {
        return fault == RolloutFault.CORRUPTION && random.nextDouble() < CORRUPTION;
    }

    /** Called after each chunk that the origin has sent. */
    void onOriginDraw() {
        if (origin.bytes() >= CHUNKS * CHUNK_BYTES) {
            originGone = fault == RolloutFault.ORIGIN_GONE;
            if (fault == RolloutFault.ORIGIN_SLOW) {
                origin.changeRate(ORIGIN_BITS_PER_SECOND * SLOW_ORIGIN);
            }
        }
    }

    /** Runs until every live machine is complete or the time is over, and returns the result. */
    Result run(double endSeconds, double changeSeconds) {
        for (RolloutMachine machine : all()) {
            loop.at((long) (random.nextDouble() * TICK_NANOS), () -> tick(machine));
            if (fault == RolloutFault.DEATHS && random.nextDouble() < DEATHS) {
                loop.at((long) (random.nextDouble() * changeSeconds * 1e9), () -> die(machine));
            }
        }
        long originBefore = 0;
        long[] crossBefore = new long[REGIONS];
        if (fault == RolloutFault.NEW_VERSION) {
            loop.runUntil((long) (changeSeconds * 1e9));
            startNanos = loop.now();
            originBefore = origin.bytes();
            for (int region = 0; region < REGIONS; region++) {
                crossBefore[region] = crossedTo(region);
            }
            all().forEach(RolloutMachine::restart);
        }
        while (!isComplete() && loop.now() < (long) (endSeconds * 1e9) + startNanos) {
            loop.runUntil(loop.now() + TICK_NANOS / 5);
        }
        double copy = CHUNKS * CHUNK_BYTES;
        double crossed = 0;
        for (int region = 1; region < REGIONS; region++) {
            crossed = Math.max(crossed, (crossedTo(region) - crossBefore[region]) / copy);
        }
        double complete = all().stream().filter(RolloutMachine::isComplete).count();
        double live = all().stream().filter(machine -> !machine.isDead()).count();
        return new Result(
                (loop.now() - startNanos) / 1e9, complete / live, (origin.bytes() - originBefore) / copy, crossed);
    }

    private long crossedTo(int region) {
        long bytes = 0;
        for (int from = 0; from < REGIONS; from++) {
            bytes += cross[from][region].bytes();
        }
        return bytes;
    }

    private void tick(RolloutMachine machine) {
        if (!machine.isDead()) {
            machine.refreshPeers();
            machine.fetchMore();
            loop.after(TICK_NANOS, () -> tick(machine));
        }
    }

    private void die(RolloutMachine machine) {
        machine.die();
        loop.after(LIST_LAG_NANOS, () -> listed.get(machine.region()).remove(machine.name()));
    }

    private boolean isComplete() {
        return all().stream().allMatch(machine -> machine.isDead() || machine.isComplete());
    }

    private List<RolloutMachine> all() {
        return regions.stream().flatMap(List::stream).toList();
    }

    /**
     * Result of a rollout.
     *
     * @param seconds time until all live machines were complete, or until the time was over
     * @param complete part of the live machines that is complete
     * @param originCopies copies drawn from the origin
     * @param crossedCopies copies that crossed to the region with the most crossings
     */
    record Result(double seconds, double complete, double originCopies, double crossedCopies) {}
}
