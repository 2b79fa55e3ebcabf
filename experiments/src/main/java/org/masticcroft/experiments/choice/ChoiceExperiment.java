package org.masticcroft.experiments.choice;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.DoubleHistogram;
import org.masticcroft.experiments.Experiment;
import org.masticcroft.experiments.ExperimentSettings;
import org.masticcroft.experiments.replay.FakeEngine;
import org.masticcroft.experiments.report.Bound;
import org.masticcroft.experiments.report.Measurement;
import org.masticcroft.experiments.report.Report;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceGenerator;
import org.masticcroft.experiments.trace.TraceRequest;
import org.masticcroft.kernel.plugin.PluginRegistry;
import org.masticcroft.kernel.routing.UpstreamChooser;

/**
 * Measures load balance and prefix cache hits of upstream choosers while load reports are 2 s old. No chooser here
 * reads cache events, so late and lost events change nothing.
 */
public final class ChoiceExperiment implements Experiment {
    private static final List<String> POLICIES = List.of("prefix-affinity", "least-in-flight", "random", "all-knowing");
    private static final int LARGE_FLEET_ENGINES = 64;
    private static final long END_MILLIS = 60_000;
    private static final long MEASURED_FROM_NANOS = 10_000_000_000L;
    private static final long CRASH_NANOS = 20_000_000_000L;
    private static final long IDLE_START_NANOS = 40_000_000_000L;
    private static final long HERDING_WINDOW_NANOS = 10_000_000_000L;
    private static final String SLOW_ENGINE = "engine-0";
    private static final String DEAD_ENGINE = "engine-1";
    private static final String IDLE_ENGINE = "engine-2";

    @Override
    public String name() {
        return "choice";
    }

    @Override
    public Report run(ExperimentSettings settings) {
        List<Measurement> measurements = new ArrayList<>();
        Deployment seaport = Deployment.seaport();
        Deployment largeFleet = new Deployment("large", LARGE_FLEET_ENGINES, seaport.ranks());
        List<TraceRequest> recordedRequests = settings.trace(seaport);
        measure(measurements, "3 entries", 3, seaport, recordedRequests, settings.seed());
        if (!settings.small()) {
            List<TraceRequest> generatedRequests =
                    TraceGenerator.of(settings.seed()).usualLoad(largeFleet, Duration.ofMillis(END_MILLIS));
            measure(measurements, "50 entries", 50, largeFleet, generatedRequests, settings.seed());
        }
        return new Report(name(), measurements);
    }

    private static void measure(
            List<Measurement> measurements,
            String scenarioTitle,
            int entries,
            Deployment deployment,
            List<TraceRequest> requests,
            long seed) {
        for (Fault fault : Fault.values()) {
            String scenario = scenarioTitle + fault.title;
            double[] hitRatios = new double[POLICIES.size()];
            for (int index = 0; index < POLICIES.size(); index++) {
                ChoiceReplay replay = new ChoiceReplay(entries, deployment.engines(), seed);
                fault.schedule(replay);
                replay.replay(requests, chooser(POLICIES.get(index), replay), END_MILLIS);
                hitRatios[index] = replay.hitRatio();
                measureBalance(measurements, scenario, POLICIES.get(index), replay, fault);
            }
            for (int index = 0; index < POLICIES.size(); index++) {
                String policy = POLICIES.get(index);
                measurements.add(Measurement.of(scenario, policy, "prefix hits", hitRatios[index]));
                measurements.add(Measurement.of(
                        scenario,
                        policy,
                        "hits relative to all-knowing",
                        hitRatios[index] / hitRatios[3],
                        Bound.atLeast(0.8)));
                measurements.add(Measurement.of(
                        scenario,
                        policy,
                        "hits relative to random",
                        hitRatios[index] / hitRatios[2],
                        Bound.atLeast(1.5)));
            }
        }
    }

    private static UpstreamChooser chooser(String policy, ChoiceReplay replay) {
        return policy.equals("all-knowing")
                ? new OracleChooser(replay.engines())
                : PluginRegistry.of(UpstreamChooser.class).require(policy);
    }

    private static void measureBalance(
            List<Measurement> measurements, String scenario, String policy, ChoiceReplay replay, Fault fault) {
        DoubleHistogram busiestToMean = new DoubleHistogram(3);
        double idleEnginePeak = 0;
        for (ChoiceReplay.Sample sample : replay.samples()) {
            double meanInFlight = sample.inFlight().entrySet().stream()
                    .filter(entry -> !replay.engines().get(entry.getKey()).isDead())
                    .mapToInt(Map.Entry::getValue)
                    .average()
                    .orElse(0);
            if (sample.atNanos() >= MEASURED_FROM_NANOS && meanInFlight > 0) {
                int maxInFlight = sample.inFlight().values().stream()
                        .mapToInt(Integer::intValue)
                        .max()
                        .orElse(0);
                busiestToMean.recordValue(maxInFlight / meanInFlight);
            }
            long nanosSinceIdle = sample.atNanos() - IDLE_START_NANOS;
            if (nanosSinceIdle >= 0 && nanosSinceIdle <= HERDING_WINDOW_NANOS && meanInFlight > 0) {
                idleEnginePeak = Math.max(idleEnginePeak, sample.inFlight().get(IDLE_ENGINE) / meanInFlight);
            }
        }
        measurements.add(Measurement.of(
                scenario,
                policy,
                "busiest engine relative to the mean (mean)",
                busiestToMean.getMean(),
                Bound.atMost(1.3)));
        measurements.add(Measurement.of(
                scenario, policy, "busiest engine relative to the mean (p95)", busiestToMean.getValueAtPercentile(95)));
        if (fault == Fault.IDLE) {
            measurements.add(Measurement.of(
                    scenario,
                    policy,
                    "peak of the idle engine relative to the mean",
                    idleEnginePeak,
                    Bound.atMost(1.3)));
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
            Map<String, FakeEngine> engines = replay.engines();
            switch (this) {
                case SLOW -> engines.get(ChoiceExperiment.SLOW_ENGINE).setSlowdown(2);
                case DEAD -> replay.loop().scheduleAt(CRASH_NANOS, engines.get(ChoiceExperiment.DEAD_ENGINE)::crash);
                case IDLE ->
                    replay.loop().scheduleAt(IDLE_START_NANOS - 1, engines.get(ChoiceExperiment.IDLE_ENGINE)::restart);
                default -> {
                    // NONE schedules no fault.
                }
            }
        }
    }
}
