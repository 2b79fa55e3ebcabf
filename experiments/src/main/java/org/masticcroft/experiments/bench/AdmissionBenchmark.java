package org.masticcroft.experiments.bench;

import java.time.Duration;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.masticcroft.kernel.admission.AdmissionPlugin;
import org.masticcroft.kernel.admission.AdmissionQueue;
import org.masticcroft.kernel.admission.Ticket;
import org.masticcroft.kernel.config.RankConfig;
import org.masticcroft.kernel.plugin.PluginRegistry;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures one offer, one poll and one finish under a lock, with a constant number of waiting requests. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class AdmissionBenchmark {
    /** Number of waiting requests. */
    @Param({"10", "1000", "10000"})
    public int waiting;

    /** Number of customers. */
    @Param({"10", "1000"})
    public int customers;

    private AdmissionQueue queue;
    private long sequence;

    /** Creates a queue with waiting requests. */
    @Setup
    public void prepare() {
        queue = queueOf(4 * waiting);
        for (int number = 0; number < waiting; number++) {
            queue.requeue(ticket(), 0);
        }
    }

    /** Replaces one waiting request under a lock, which corresponds to the lock of an entry. */
    @Benchmark
    public Optional<Ticket> offerAndPoll() {
        synchronized (this) {
            queue.offer(ticket(), 0);
            Optional<Ticket> next = queue.poll(0);
            next.ifPresent(ticket -> queue.finish(ticket, 200, 0));
            return next;
        }
    }

    static AdmissionQueue queueOf(int limit) {
        SortedMap<String, RankConfig> ranks = new TreeMap<>();
        ranks.put("rank-0", new RankConfig(0, 0.5, Duration.ofHours(1), limit));
        ranks.put("rank-1", new RankConfig(1, 0.3, Duration.ofHours(1), limit));
        ranks.put("rank-2", new RankConfig(2, 0.1, Duration.ofHours(1), limit));
        return PluginRegistry.of(AdmissionPlugin.class).require("ranked-fair").create(ranks);
    }

    private Ticket ticket() {
        long number = sequence++;
        return new Ticket("r" + number, "customer-" + number % customers, 1, "rank-" + number % 3, 300, number);
    }
}
