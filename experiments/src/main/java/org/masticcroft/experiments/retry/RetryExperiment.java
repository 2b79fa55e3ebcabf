package org.masticcroft.experiments.retry;

import java.util.ArrayList;
import java.util.List;
import org.masticcroft.experiments.Experiment;
import org.masticcroft.experiments.ExperimentSettings;
import org.masticcroft.experiments.report.Bound;
import org.masticcroft.experiments.report.Measurement;
import org.masticcroft.experiments.report.Report;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.kernel.plugin.PluginRegistry;
import org.masticcroft.kernel.retry.RetryPolicy;
import org.masticcroft.kernel.routing.UpstreamChooser;

/** Measures retries while all, half or one of the engines fail or become very slow for ten seconds. */
public final class RetryExperiment implements Experiment {
    private static final long FAULT_START_SECOND = 20;
    private static final long FAULT_END_SECOND = 30;
    private static final long LAST_MEASURED_SECOND = 59;
    private static final long END_MILLIS = 120_000;
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long WINDOW_NANOS = 10 * SECOND_NANOS;
    private static final double SLOWDOWN_FACTOR = 40;

    /** A second counts as normal if at least this fraction of its requests is answered. */
    private static final double MIN_NORMAL_SUCCESS = 0.95;

    /** A second counts as normal if its attempts are at most this many times its requests. */
    private static final double MAX_NORMAL_ATTEMPT_RATIO = 1.2;

    @Override
    public String name() {
        return "retries";
    }

    @Override
    public Report run(ExperimentSettings settings) {
        List<Measurement> measurements = new ArrayList<>();
        for (Deployment deployment : settings.deployments()) {
            for (String policy : List.of("budgeted", "always")) {
                for (Fault fault : Fault.values()) {
                    measure(measurements, deployment, policy, fault, settings);
                }
            }
        }
        return new Report(name(), measurements);
    }

    private static void measure(
            List<Measurement> measurements,
            Deployment deployment,
            String policy,
            Fault fault,
            ExperimentSettings settings) {
        RetryReplay replay = new RetryReplay(
                PluginRegistry.of(RetryPolicy.class).require(policy),
                PluginRegistry.of(UpstreamChooser.class).require("prefix-affinity"),
                policy.equals("budgeted"),
                deployment.engines(),
                settings.seed());
        fault.schedule(replay, deployment.engines());
        replay.replay(settings.trace(deployment), END_MILLIS);
        String scenario = deployment.name() + " " + fault.title;
        measurements.add(Measurement.of(
                scenario, policy, "retries per first attempt in any 10 s", maxRetryRatio(replay), Bound.atMost(0.1)));
        measurements.add(Measurement.of(
                scenario, policy, "seconds until load is normal", recoverySeconds(replay), Bound.atMost(10)));
        measurements.add(
                Measurement.of(scenario, policy, "answered during the fault", successRatioDuringFault(replay)));
    }

    private static double maxRetryRatio(RetryReplay replay) {
        double maxRatio = 0;
        for (long end = WINDOW_NANOS; end <= (LAST_MEASURED_SECOND + 1) * SECOND_NANOS; end += SECOND_NANOS / 10) {
            long firstAttempts = count(replay.firstAttempts(), end - WINDOW_NANOS, end);
            if (firstAttempts > 0) {
                maxRatio =
                        Math.max(maxRatio, (double) count(replay.retries(), end - WINDOW_NANOS, end) / firstAttempts);
            }
        }
        return maxRatio;
    }

    /**
     * Returns the seconds from the end of the fault to the end of the last second that was not normal, so that a second
     * collapse counts too.
     */
    private static double recoverySeconds(RetryReplay replay) {
        for (long second = LAST_MEASURED_SECOND; second >= FAULT_END_SECOND; second--) {
            long firstAttempts = count(replay.firstAttempts(), second * SECOND_NANOS, (second + 1) * SECOND_NANOS);
            long retries = count(replay.retries(), second * SECOND_NANOS, (second + 1) * SECOND_NANOS);
            if (replay.successRatio(second) < MIN_NORMAL_SUCCESS
                    || firstAttempts + retries > MAX_NORMAL_ATTEMPT_RATIO * firstAttempts) {
                return second + 1 - FAULT_END_SECOND;
            }
        }
        return 0;
    }

    private static double successRatioDuringFault(RetryReplay replay) {
        double sum = 0;
        for (long second = FAULT_START_SECOND; second < FAULT_END_SECOND; second++) {
            sum += replay.successRatio(second);
        }
        return sum / (FAULT_END_SECOND - FAULT_START_SECOND);
    }

    private static long count(List<Long> times, long fromNanos, long toNanos) {
        return times.stream()
                .filter(time -> time >= fromNanos && time < toNanos)
                .count();
    }

    private enum Fault {
        ALL_FAIL("all fail", false, 1),
        HALF_FAIL("half fail", false, 0.5),
        ONE_FAILS("one fails", false, 0),
        ALL_SLOW("all slow", true, 1),
        HALF_SLOW("half slow", true, 0.5),
        ONE_SLOW("one slow", true, 0);

        private final String title;
        private final boolean slow;
        private final double affectedFraction;

        Fault(String title, boolean slow, double affectedFraction) {
            this.title = title;
            this.slow = slow;
            this.affectedFraction = affectedFraction;
        }

        private void schedule(RetryReplay replay, int engineCount) {
            int affectedEngines = Math.max(1, (int) (engineCount * affectedFraction));
            for (FaultyEngine engine : replay.engines().subList(0, affectedEngines)) {
                replay.loop().scheduleAt(FAULT_START_SECOND * SECOND_NANOS, () -> setFaulty(engine, true));
                replay.loop().scheduleAt(FAULT_END_SECOND * SECOND_NANOS, () -> setFaulty(engine, false));
            }
        }

        private void setFaulty(FaultyEngine engine, boolean faulty) {
            if (slow) {
                engine.setSlowdown(faulty ? SLOWDOWN_FACTOR : 1);
            } else {
                engine.setFailing(faulty);
            }
        }
    }
}
