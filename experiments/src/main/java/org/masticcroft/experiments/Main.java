package org.masticcroft.experiments;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.masticcroft.experiments.bench.BenchCommand;
import org.masticcroft.experiments.report.Bound;
import org.masticcroft.experiments.report.Measurement;
import org.masticcroft.experiments.report.Report;
import org.masticcroft.experiments.report.ReportWriter;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceFile;
import org.masticcroft.experiments.trace.TraceGenerator;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Entry point of the {@code experiment} command. */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        version = "0.1.0",
        description = "Replays recorded traces through the decision code.",
        subcommands = {Main.RunCommand.class, Main.TraceCommand.class, BenchCommand.class})
public final class Main {
    private Main() {}

    /** Runs the command and exits with its status. */
    public static void main(String[] arguments) {
        System.setProperty("java.awt.headless", "true");
        System.exit(new CommandLine(new Main()).execute(arguments));
    }

    /** Runs one experiment or all of them. */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Runs an experiment and writes <decision>.csv and <decision>.png.")
    static final class RunCommand implements Callable<Integer> {
        @Parameters(paramLabel = "<decision>", description = "name of the decision, or all")
        private String decision;

        @Option(names = "--seed", defaultValue = "1", description = "seed (default: ${DEFAULT-VALUE})")
        private long seed;

        @Option(
                names = "--out",
                defaultValue = "${sys:experiment.root:-.}/experiments/target/results",
                description = "output directory (default: ${DEFAULT-VALUE})")
        private Path out;

        @Option(
                names = "--traces",
                defaultValue = "${sys:experiment.root:-.}/experiments/traces",
                description = "directory of the traces (default: ${DEFAULT-VALUE})")
        private Path traces;

        @Option(names = "--small", description = "run the short version that the tests use")
        private boolean small;

        @Override
        public Integer call() throws IOException {
            List<Experiment> selected = Experiments.all().stream()
                    .filter(experiment -> decision.equals("all") || decision.equals(experiment.name()))
                    .toList();
            if (selected.isEmpty()) {
                List<String> names =
                        Experiments.all().stream().map(Experiment::name).toList();
                System.err.println("no experiment named " + decision + "; known: all, " + String.join(", ", names));
                return CommandLine.ExitCode.USAGE;
            }
            for (Experiment experiment : selected) {
                Report report = experiment.run(new ExperimentSettings(seed, traces, small));
                ReportWriter.write(report, out);
                print(report);
            }
            return CommandLine.ExitCode.OK;
        }

        private static void print(Report report) {
            for (Measurement measurement : report.measurements()) {
                System.out.printf(
                        Locale.ROOT,
                        "%-4s %-10s %-52s %-18s %-48s %12.4f %s%n",
                        measurement.isMiss() ? "MISS" : "",
                        report.decision(),
                        measurement.scenario(),
                        measurement.policy(),
                        measurement.metric(),
                        measurement.value(),
                        measurement.bound().map(Bound::toString).orElse(""));
            }
        }
    }

    /** Writes the traces of the deployments. */
    @Command(
            name = "trace",
            mixinStandardHelpOptions = true,
            description = "Writes one trace per deployment from a seed, as JSON lines.")
    static final class TraceCommand implements Callable<Integer> {
        @Option(names = "--seed", defaultValue = "1", description = "seed (default: ${DEFAULT-VALUE})")
        private long seed;

        @Option(names = "--seconds", defaultValue = "60", description = "length (default: ${DEFAULT-VALUE})")
        private int seconds;

        @Option(
                names = "--out",
                defaultValue = "${sys:experiment.root:-.}/experiments/traces",
                description = "output directory (default: ${DEFAULT-VALUE})")
        private Path out;

        @Override
        public Integer call() throws IOException {
            for (Deployment deployment : Deployment.all()) {
                Path file = out.resolve(deployment.name() + ".jsonl");
                TraceFile.write(file, TraceGenerator.of(seed).usualLoad(deployment, Duration.ofSeconds(seconds)));
                System.out.println(file);
            }
            return CommandLine.ExitCode.OK;
        }
    }
}
