package org.masticcroft.experiments.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticcroft.kernel.plugin.PluginRegistry;
import org.masticcroft.kernel.routing.Choice;
import org.masticcroft.kernel.routing.RoutingRequest;
import org.masticcroft.kernel.routing.UpstreamChooser;
import org.masticcroft.kernel.routing.UpstreamLoad;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures one routing decision. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class RoutingBenchmark {
    /** Number of candidate upstreams. */
    @Param({"10", "100", "600", "1100"})
    public int upstreams;

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1L);
    private final UpstreamChooser chooser =
            PluginRegistry.of(UpstreamChooser.class).require("prefix-affinity");
    private List<UpstreamLoad> loads;
    private long prefix;

    /** Creates candidates with different loads. */
    @Setup
    public void prepare() {
        loads = Loads.random(upstreams, random);
    }

    /** Chooses an upstream for a prefix that has not occurred before. */
    @Benchmark
    public Optional<Choice> decide() {
        return chooser.choose(new RoutingRequest("r", ++prefix, 300, Set.of()), loads, random);
    }

    private static final class Loads {
        private static List<UpstreamLoad> random(int count, UniformRandomProvider random) {
            List<UpstreamLoad> loads = new ArrayList<>();
            for (int number = 0; number < count; number++) {
                loads.add(new UpstreamLoad("engine-" + number, 16, random.nextInt(3), random.nextInt(16), 500, true));
            }
            return loads;
        }
    }
}
