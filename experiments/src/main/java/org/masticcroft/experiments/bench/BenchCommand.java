package org.masticcroft.experiments.bench;

import java.util.Locale;
import java.util.concurrent.Callable;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.ChainedOptionsBuilder;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Runs the benchmarks with few and short iterations. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Runs the benchmarks; figures depend on what else runs on the machine.")
public final class BenchCommand implements Callable<Integer> {
    private static final int[] WORKERS = {1, 2, 4, 10};

    /** Creates the command; called by picocli. */
    public BenchCommand() {}

    @Override
    public Integer call() throws RunnerException {
        System.out.printf(Locale.ROOT, "bytes per upstream %.0f%n", Footprint.perUpstream());
        System.out.printf(Locale.ROOT, "bytes per queued request %.0f%n", Footprint.perRequest());
        System.out.printf(
                Locale.ROOT, "bytes per customer with one queued request %.0f%n", Footprint.perCustomerWithRequest());
        new Runner(shortRun()
                        .include("RoutingBenchmark|FetchBenchmark|AdmissionBenchmark")
                        .build())
                .run();
        for (int workers : WORKERS) {
            System.out.println("admission with " + workers + " workers over one lock");
            new Runner(shortRun()
                            .include("AdmissionBenchmark")
                            .param("waiting", "1000")
                            .param("customers", "1000")
                            .threads(workers)
                            .build())
                    .run();
        }
        return CommandLine.ExitCode.OK;
    }

    private static ChainedOptionsBuilder shortRun() {
        return new OptionsBuilder()
                .forks(1)
                .warmupIterations(2)
                .warmupTime(TimeValue.milliseconds(500))
                .measurementIterations(3)
                .measurementTime(TimeValue.milliseconds(500));
    }
}
