package org.masticcroft.experiments.choice;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.DoubleHistogram;
import org.masticcroft.experiments.Experiment;
import org.masticcroft.experiments.ExperimentSettings;
import org.masticcroft.experiments.replay.EngineFake;
import org.masticcroft.experiments.report.Bound;
import org.masticcroft.experiments.report.Measure;
import org.masticcroft.experiments.report.Report;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceGenerator;
import org.masticcroft.experiments.trace.TraceRequest;
import org.masticcroft.kernel.plugin.PluginRegistry;
import org.masticcroft.kernel.routing.UpstreamChooser;

/**
 * Balance and prefix hits of the choice of an engine while reports are 2 s old. No chooser here reads cache events, so
 * late and lost events change nothing.
 */
public final class ChoiceExperiment implements Experiment {
    private static final List<String> POLICIES = List.of("prefix-affinity", "least-in-flight", "random", "all-knowing");
    private static final int LARGE_FLEET_ENGINES = 64;
    private static final long END_MILLIS = 60_000;
    private static final long MEASURED_FROM_NANOS = 10_000_000_000L;
    private static final long FAULT_NANOS = 20_000_000_000L;
    private static final long IDLE_NANOS = 40_000_000_000L;
    private static final long HERD_NANOS = 10_000_000_000L;
    private static final String SLOW = "engine-0";
    private static final String DEAD = "engine-1";
    private static final String IDLE = "engine-2";

    @Override
    public String name() {
        return "choice";
    }

    @Override
    public Report run(ExperimentSettings settings) {
        List<Measure> measures = new ArrayList<>();
        Deployment port = Deployment.port();
        Deployment large = new Deployment("large", LARGE_FLEET_ENGINES, port.ranks());
        List<TraceRequest> recorded = settings.trace(port);
        measure(measures, "3 entries", 3, port, recorded, settings.seed());
        if (!settings.small()) {
            List<TraceRequest> generated =
                    TraceGenerator.of(settings.seed()).usual(large, Duration.ofMillis(END_MILLIS));
            measure(measures, "50 entries", 50, large, generated, settings.seed());
        }
        return new Report(name(), measures);
    }

    private static void measure(
            List<Measure> measures,
            String title,
            int entries,
            Deployment deployment,
            List<TraceRequest> requests,
            long seed) {
        for (Fault fault : Fault.values()) {
            String scenario = title + fault.title;
            double[] hits = new double[POLICIES.size()];
            for (int number = 0; number < POLICIES.size(); number++) {
                ChoiceReplay replay = new ChoiceReplay(entries, deployment.engines(), seed);
                fault.schedule(replay);
                replay.replay(requests, chooser(POLICIES.get(number), replay), END_MILLIS);
                hits[number] = replay.hitRatio();
                measureBalance(measures, scenario, POLICIES.get(number), replay, fault);
            }
            for (int number = 0; number < POLICIES.size(); number++) {
                String policy = POLICIES.get(number);
                measures.add(Measure.of(scenario, policy, "prefix hits", hits[number]));
                measures.add(Measure.of(
                        scenario, policy, "hits relative to all-knowing", hits[number] / hits[3], Bound.atLeast(0.8)));
                measures.add(Measure.of(
                        scenario, policy, "hits relative to random", hits[number] / hits[2], Bound.atLeast(1.5)));
            }
        }
    }

    private static UpstreamChooser chooser(String policy, ChoiceReplay replay) {
        return policy.equals("all-knowing")
                ? new AllKnowingChooser(replay.engines())
                : PluginRegistry.of(UpstreamChooser.class).require(policy);
    }

    private static void measureBalance(
            List<Measure> measures, String scenario, String policy, ChoiceReplay replay, Fault fault) {
        DoubleHistogram ratios = new DoubleHistogram(3);
        double herd = 0;
        for (ChoiceReplay.Sample sample : replay.samples()) {
            double mean = sample.inFlight().entrySet().stream()
                    .filter(entry -> !replay.engines().get(entry.getKey()).isDead())
                    .mapToInt(Map.Entry::getValue)
                    .average()
                    .orElse(0);
            if (sample.atNanos() >= MEASURED_FROM_NANOS && mean > 0) {
                int busiest = sample.inFlight().values().stream()
                        .mapToInt(Integer::intValue)
                        .max()
                        .orElse(0);
                ratios.recordValue(busiest / mean);
            }
            long sinceIdle = sample.atNanos() - IDLE_NANOS;
            if (sinceIdle >= 0 && sinceIdle <= HERD_NANOS && mean > 0) {
                herd = Math.max(herd, sample.inFlight().get(IDLE) / mean);
            }
        }
        measures.add(Measure.of(
                scenario, policy, "busiest engine relative to the mean (mean)", ratios.getMean(), Bound.atMost(1.3)));
        measures.add(Measure.of(
                scenario, policy, "busiest engine relative to the mean (p95)", ratios.getValueAtPercentile(95)));
        if (fault == Fault.IDLE) {
            measures.add(Measure.of(
                    scenario, policy, "peak of the idle engine relative to the mean", herd, Bound.atMost(1.3)));
        }
    }

    private enum Fault {
        NONE(""),
        SLOW(" one slow engine"),
        DEAD(" one dead engine still listed"),
        IDLE(" one engine suddenly idle");

        private final String title;

        Fault(String title) {
            this.title = title;
        }

        private void schedule(ChoiceReplay replay) {
            Map<String, EngineFake> engines = replay.engines();
            switch (this) {
                case SLOW -> engines.get(ChoiceExperiment.SLOW).slowDown(2);
                case DEAD -> replay.loop().at(FAULT_NANOS, engines.get(ChoiceExperiment.DEAD)::die);
                case IDLE -> replay.loop().at(IDLE_NANOS - 1, engines.get(ChoiceExperiment.IDLE)::restart);
                default -> {
                    // Without a fault there is nothing to schedule.
                }
            }
        }
    }
}
