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
import org.masticcroft.experiments.report.Measure;
import org.masticcroft.experiments.report.Report;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceGenerator;
import org.masticcroft.experiments.trace.TraceRequest;

/** Urgent requests that find every engine busy with background work. */
public final class PreemptionExperiment implements Experiment {
    private static final int URGENT_REQUESTS = 40;
    private static final long URGENT_START_MILLIS = 20_000;
    private static final long URGENT_GAP_MILLIS = 337;
    private static final Duration BACKGROUND_LENGTH = Duration.ofSeconds(30);
    private static final double BACKGROUND_LOAD = 3;

    /** Long enough for all accepted background work to end. */
    private static final long END_MILLIS = 400_000;

    /** Prefix numbers beyond those of the generator, so that no urgent prompt is cached. */
    private static final int FIRST_UNSHARED_PREFIX = 100_000;

    @Override
    public String name() {
        return "preemption";
    }

    @Override
    public Report run(ExperimentSettings settings) {
        List<Measure> measures = new ArrayList<>();
        for (Deployment deployment : settings.deployments()) {
            measure(deployment, "share-preserving", settings, measures);
            measure(deployment, "never", settings, measures);
        }
        return new Report(name(), measures);
    }

    private static void measure(
            Deployment deployment, String policy, ExperimentSettings settings, List<Measure> measures) {
        ServingReplay.Policies policies = new ServingReplay.Policies("ranked-fair", policy, "prefix-affinity");
        List<TraceRequest> urgent = urgent(deployment);
        ServingReplay idle = ServingReplay.of(deployment, policies, settings.seed());
        idle.replay(urgent, END_MILLIS);
        Map<String, Double> alone = idle.results().stream()
                .collect(Collectors.toMap(result -> result.request().id(), Served::firstTokenMillis));
        List<TraceRequest> requests = new ArrayList<>(background(deployment, settings));
        requests.addAll(urgent);
        ServingReplay busy = ServingReplay.of(deployment, policies, settings.seed());
        busy.replay(TraceGenerator.sorted(requests), END_MILLIS);
        Collection<Served> results = busy.results();
        Predicate<Served> isUrgent =
                result -> alone.containsKey(result.request().id());
        double extra = results.stream()
                .filter(isUrgent)
                .mapToDouble(result -> result.hasFirstToken()
                        ? result.firstTokenMillis() - alone.get(result.request().id())
                        : Double.POSITIVE_INFINITY)
                .max()
                .orElseThrow();
        double step = Deployment.TOKEN_MILLIS + 2 * ServingReplay.LINK_NANOS / 1e6;
        String scenario = deployment.name() + " all engines busy";
        measures.add(
                Measure.of(scenario, policy, "latest first token beyond an idle engine ms", extra, Bound.atMost(step)));
        measures.add(Measure.of(scenario, policy, "p95 first token ms", Stats.p95FirstTokenMillis(results, isUrgent)));
        measureBackground(results, isUrgent.negate(), scenario, policy, measures);
    }

    private static void measureBackground(
            Collection<Served> results,
            Predicate<Served> isBackground,
            String scenario,
            String policy,
            List<Measure> measures) {
        List<Served> accepted = results.stream()
                .filter(isBackground.and(result -> !result.isRefused()))
                .toList();
        double complete = accepted.stream()
                .filter(Served::isFinished)
                .filter(result -> result.delivered() == result.request().outputTokens())
                .count();
        int loss = accepted.stream().mapToInt(Served::worstLoss).max().orElse(0);
        long interruptions = accepted.stream().mapToInt(Served::interruptions).sum();
        measures.add(Measure.of(scenario, policy, "background complete", complete / accepted.size(), Bound.atLeast(1)));
        measures.add(Measure.of(
                scenario,
                policy,
                "largest loss per interruption in tokens",
                loss,
                Bound.atMost(ServingReplay.CHUNK_TOKENS)));
        measures.add(Measure.of(scenario, policy, "interruptions", interruptions));
    }

    private static List<TraceRequest> background(Deployment deployment, ExperimentSettings settings) {
        Deployment.RankLoad rank = deployment.ranks().get(deployment.ranks().size() - 1);
        double perSecond = deployment.requestsPerSecond(rank, BACKGROUND_LOAD);
        return TraceGenerator.of(settings.seed()).stream(
                "background", rank.name(), perSecond, rank.meanOutput(), 0, BACKGROUND_LENGTH);
    }

    private static List<TraceRequest> urgent(Deployment deployment) {
        List<TraceRequest> requests = new ArrayList<>();
        for (int number = 0; number < URGENT_REQUESTS; number++) {
            requests.add(new TraceRequest(
                    URGENT_START_MILLIS + number * URGENT_GAP_MILLIS,
                    "urgent-" + number,
                    "customer-5",
                    deployment.ranks().get(0).name(),
                    FIRST_UNSHARED_PREFIX + number,
                    200,
                    60,
                    128));
        }
        return requests;
    }
}
