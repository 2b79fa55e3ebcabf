package org.masticcroft.experiments.retry;

import java.util.ArrayList;
import java.util.List;
import org.masticcroft.experiments.Experiment;
import org.masticcroft.experiments.ExperimentSettings;
import org.masticcroft.experiments.report.Bound;
import org.masticcroft.experiments.report.Measure;
import org.masticcroft.experiments.report.Report;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.kernel.plugin.PluginRegistry;
import org.masticcroft.kernel.retry.RetryPolicy;
import org.masticcroft.kernel.routing.UpstreamChooser;

/** Retries while all, half or one of the engines fail or become very slow for ten seconds. */
public final class RetryExperiment implements Experiment {
    private static final long FAULT_START_SECOND = 20;
    private static final long FAULT_END_SECOND = 30;
    private static final long LAST_SECOND = 59;
    private static final long END_MILLIS = 120_000;
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long WINDOW_NANOS = 10 * SECOND_NANOS;
    private static final double SLOWNESS = 40;

    /** A second counts as normal if this part of its requests is answered. */
    private static final double NORMAL_SUCCESS = 0.95;

    /** A second counts as normal if its attempts are at most this many times its requests. */
    private static final double NORMAL_LOAD = 1.2;

    @Override
    public String name() {
        return "retries";
    }

    @Override
    public Report run(ExperimentSettings settings) {
        List<Measure> measures = new ArrayList<>();
        for (Deployment deployment : settings.deployments()) {
            for (String policy : List.of("budgeted", "always")) {
                for (Fault fault : Fault.values()) {
                    measure(measures, deployment, policy, fault, settings);
                }
            }
        }
        return new Report(name(), measures);
    }

    private static void measure(
            List<Measure> measures, Deployment deployment, String policy, Fault fault, ExperimentSettings settings) {
        RetryReplay replay = new RetryReplay(
                PluginRegistry.of(RetryPolicy.class).require(policy),
                PluginRegistry.of(UpstreamChooser.class).require("prefix-affinity"),
                policy.equals("budgeted"),
                deployment.engines(),
                settings.seed());
        fault.schedule(replay, deployment.engines());
        replay.replay(settings.trace(deployment), END_MILLIS);
        String scenario = deployment.name() + " " + fault.title;
        measures.add(Measure.of(
                scenario, policy, "retries per first attempt in any 10 s", worstRatio(replay), Bound.atMost(0.1)));
        measures.add(Measure.of(
                scenario, policy, "seconds until load is normal", recoverySeconds(replay), Bound.atMost(10)));
        measures.add(Measure.of(scenario, policy, "answered during the fault", answered(replay)));
    }

    private static double worstRatio(RetryReplay replay) {
        double worst = 0;
        for (long end = WINDOW_NANOS; end <= (LAST_SECOND + 1) * SECOND_NANOS; end += SECOND_NANOS / 10) {
            long firsts = count(replay.firstAttempts(), end - WINDOW_NANOS, end);
            if (firsts > 0) {
                worst = Math.max(worst, (double) count(replay.retries(), end - WINDOW_NANOS, end) / firsts);
            }
        }
        return worst;
    }

    /**
     * Returns the time from the end of the fault to the last second that was not normal, a second collapse included.
     */
    private static double recoverySeconds(RetryReplay replay) {
        for (long second = LAST_SECOND; second >= FAULT_END_SECOND; second--) {
            long firsts = count(replay.firstAttempts(), second * SECOND_NANOS, (second + 1) * SECOND_NANOS);
            long retries = count(replay.retries(), second * SECOND_NANOS, (second + 1) * SECOND_NANOS);
            if (replay.successOf(second) < NORMAL_SUCCESS || firsts + retries > NORMAL_LOAD * firsts) {
                return second + 1 - FAULT_END_SECOND;
            }
        }
        return 0;
    }

    private static double answered(RetryReplay replay) {
        double sum = 0;
        for (long second = FAULT_START_SECOND; second < FAULT_END_SECOND; second++) {
            sum += replay.successOf(second);
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
        private final double part;

        Fault(String title, boolean slow, double part) {
            this.title = title;
            this.slow = slow;
            this.part = part;
        }

        private void schedule(RetryReplay replay, int engineCount) {
            int affected = Math.max(1, (int) (engineCount * part));
            for (RetriedEngine engine : replay.engines().subList(0, affected)) {
                replay.loop().at(FAULT_START_SECOND * SECOND_NANOS, () -> set(engine, true));
                replay.loop().at(FAULT_END_SECOND * SECOND_NANOS, () -> set(engine, false));
            }
        }

        private void set(RetriedEngine engine, boolean faulty) {
            if (slow) {
                engine.slowDown(faulty ? SLOWNESS : 1);
            } else {
                engine.setFailing(faulty);
            }
        }
    }
}
