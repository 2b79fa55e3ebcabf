package org.masticcroft.experiments.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.masticcroft.experiments.Experiment;
import org.masticcroft.experiments.ExperimentSettings;
import org.masticcroft.experiments.report.Bound;
import org.masticcroft.experiments.report.Measurement;
import org.masticcroft.experiments.report.Report;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceGenerator;
import org.masticcroft.experiments.trace.TraceRequest;

/** Measures the delay of urgent requests when every engine is busy with background work, and what that work loses. */
public final class PreemptionExperiment implements Experiment {
    private static final int URGENT_REQUESTS = 40;
    private static final long URGENT_START_MILLIS = 20_000;
    private static final long URGENT_INTERVAL_MILLIS = 337;
    private static final Duration BACKGROUND_DURATION = Duration.ofSeconds(30);
    private static final double BACKGROUND_LOAD = 3;

    /** Long enough for all accepted background requests to complete. */
    private static final long END_MILLIS = 400_000;

    /** Urgent requests use prefixes from here on, which the generator never uses, so that none is cached. */
    private static final int FIRST_UNCACHED_PREFIX = 100_000;

    @Override
    public String name() {
        return "preemption";
    }

    @Override
    public Report run(ExperimentSettings settings) {
        List<Measurement> measurements = new ArrayList<>();
        for (Deployment deployment : settings.deployments()) {
            measure(deployment, "share-preserving", settings, measurements);
            measure(deployment, "never", settings, measurements);
        }
        return new Report(name(), measurements);
    }

    private static void measure(
            Deployment deployment, String policy, ExperimentSettings settings, List<Measurement> measurements) {
        ServingReplay.Policies policies = new ServingReplay.Policies("ranked-fair", policy, "prefix-affinity");
        List<TraceRequest> urgent = urgentRequests(deployment);
        ServingReplay idle = ServingReplay.of(deployment, policies, settings.seed());
        idle.replay(urgent, END_MILLIS);
        Map<String, Double> idleFirstTokenMillis = idle.results().stream()
                .collect(Collectors.toMap(result -> result.request().id(), RequestResult::firstTokenMillis));
        List<TraceRequest> requests = new ArrayList<>(backgroundRequests(deployment, settings));
        requests.addAll(urgent);
        ServingReplay busy = ServingReplay.of(deployment, policies, settings.seed());
        busy.replay(TraceGenerator.sorted(requests), END_MILLIS);
        Collection<RequestResult> results = busy.results();
        Predicate<RequestResult> isUrgent =
                result -> idleFirstTokenMillis.containsKey(result.request().id());
        double maxExtraMillis = results.stream()
                .filter(isUrgent)
                .mapToDouble(result -> result.hasFirstToken()
                        ? result.firstTokenMillis()
                                - idleFirstTokenMillis.get(result.request().id())
                        : Double.POSITIVE_INFINITY)
                .max()
                .orElseThrow();
        double maxStepMillis = Deployment.TOKEN_MILLIS + 2 * ServingReplay.LINK_DELAY_NANOS / 1e6;
        String scenario = deployment.name() + " all engines busy";
        measurements.add(Measurement.of(
                scenario,
                policy,
                "latest first token beyond an idle engine ms",
                maxExtraMillis,
                Bound.atMost(maxStepMillis)));
        measurements.add(
                Measurement.of(scenario, policy, "p95 first token ms", Stats.p95FirstTokenMillis(results, isUrgent)));
        measureBackground(results, isUrgent.negate(), scenario, policy, measurements);
    }

    private static void measureBackground(
            Collection<RequestResult> results,
            Predicate<RequestResult> isBackground,
            String scenario,
            String policy,
            List<Measurement> measurements) {
        List<RequestResult> accepted = results.stream()
                .filter(isBackground.and(result -> !result.isRefused()))
                .toList();
        double complete = accepted.stream()
                .filter(RequestResult::isFinished)
                .filter(result -> result.deliveredTokens() == result.request().outputTokens())
                .count();
        int maxLostTokens =
                accepted.stream().mapToInt(RequestResult::maxLostTokens).max().orElse(0);
        long interruptions =
                accepted.stream().mapToInt(RequestResult::interruptions).sum();
        measurements.add(
                Measurement.of(scenario, policy, "background complete", complete / accepted.size(), Bound.atLeast(1)));
        measurements.add(Measurement.of(
                scenario,
                policy,
                "largest loss per interruption in tokens",
                maxLostTokens,
                Bound.atMost(ServingReplay.CHUNK_TOKENS)));
        measurements.add(Measurement.of(scenario, policy, "interruptions", interruptions));
    }

    private static List<TraceRequest> backgroundRequests(Deployment deployment, ExperimentSettings settings) {
        Deployment.RankLoad rank = deployment.ranks().get(deployment.ranks().size() - 1);
        double requestsPerSecond = deployment.requestsPerSecond(rank, BACKGROUND_LOAD);
        return TraceGenerator.of(settings.seed())
                .fromAllCustomers(
                        "background", rank.name(), requestsPerSecond, rank.meanOutputTokens(), 0, BACKGROUND_DURATION);
    }

    private static List<TraceRequest> urgentRequests(Deployment deployment) {
        List<TraceRequest> requests = new ArrayList<>();
        for (int number = 0; number < URGENT_REQUESTS; number++) {
            requests.add(new TraceRequest(
                    URGENT_START_MILLIS + number * URGENT_INTERVAL_MILLIS,
                    "urgent-" + number,
                    "customer-5",
                    deployment.ranks().get(0).name(),
                    FIRST_UNCACHED_PREFIX + number,
                    200,
                    60,
                    128));
        }
        return requests;
    }
}
