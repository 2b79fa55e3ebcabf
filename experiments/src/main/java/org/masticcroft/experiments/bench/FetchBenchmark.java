package org.masticcroft.experiments.bench;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticcroft.kernel.plugin.PluginRegistry;
import org.masticcroft.kernel.rollout.Fetch;
import org.masticcroft.kernel.rollout.FetchPlanner;
import org.masticcroft.kernel.rollout.FetchView;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures one fetch decision of a sidecar in a region of 1,100 members. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class FetchBenchmark {
    private static final int MEMBERS = 1_100;
    private static final int PEERS = 16;
    private static final int CHUNKS = 256;

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1L);
    private final FetchPlanner planner = PluginRegistry.of(FetchPlanner.class).require("regional-swarm");
    private FetchView view;

    /** Creates a view in which random chunks, at most half of all, are held. */
    @Setup
    public void prepare() {
        List<FetchView.Peer> peers = new ArrayList<>();
        for (int number = 1; number <= PEERS; number++) {
            peers.add(new FetchView.Peer("machine-" + number, true, randomHalf(), 2, 0));
        }
        List<String> members = IntStream.range(0, MEMBERS)
                .mapToObj(number -> "machine-" + number)
                .toList();
        view = new FetchView(
                "machine-0", CHUNKS, randomHalf(), Set.of(), members, peers, 1_000, 100, FetchView.Store.of(false));
    }

    /** Chooses the next chunk and its source. */
    @Benchmark
    public Optional<Fetch> decide() {
        return planner.next(view, random);
    }

    private BitSet randomHalf() {
        BitSet chunks = new BitSet();
        for (int chunk = 0; chunk < CHUNKS / 2; chunk++) {
            chunks.set(random.nextInt(CHUNKS));
        }
        return chunks;
    }
}
