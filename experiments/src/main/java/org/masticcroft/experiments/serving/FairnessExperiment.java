package org.masticcroft.experiments.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import org.masticcroft.experiments.Experiment;
import org.masticcroft.experiments.ExperimentSettings;
import org.masticcroft.experiments.report.Bound;
import org.masticcroft.experiments.report.Measurement;
import org.masticcroft.experiments.report.Report;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceGenerator;
import org.masticcroft.experiments.trace.TraceRequest;

/** Measures the service of small customers while one customer demands fifty times as much as each of them. */
public final class FairnessExperiment implements Experiment {
    private static final double LARGE_DEMAND_FACTOR = 50;
    private static final int SMALL_CUSTOMERS = 9;
    private static final String LARGE_CUSTOMER = "customer-0";
    private static final String HEAVY_CUSTOMER = "customer-1";
    private static final double HEAVY_WEIGHT = 2;
    private static final Duration DURATION = Duration.ofSeconds(60);
    private static final long MEASURED_FROM_MILLIS = 15_000;
    private static final long END_MILLIS = 60_000;

    /** Load of each customer in the scenario in which all have requests waiting, as a fraction of the capacity. */
    private static final double BACKLOGGED_LOAD = 0.3;

    @Override
    public String name() {
        return "fairness";
    }

    @Override
    public Report run(ExperimentSettings settings) {
        List<Measurement> measurements = new ArrayList<>();
        for (Deployment deployment : settings.deployments()) {
            new PolicyRun(deployment, "ranked-fair", ServingReplay.Policies.current(), settings).measure(measurements);
            new PolicyRun(deployment, "fifo", ServingReplay.Policies.baseline(), settings).measure(measurements);
        }
        return new Report(name(), measurements);
    }

    private record PolicyRun(
            Deployment deployment, String policy, ServingReplay.Policies policies, ExperimentSettings settings) {
        private static final double MAX_LATENCY_RATIO = 1.2;
        private static final double MIN_JAIN_INDEX = 0.95;
        private static final double MIN_UTILIZATION = 0.95;

        private void measure(List<Measurement> measurements) {
            List<TraceRequest> smallRequests = smallRequests();
            double p95Before = Stats.p95FirstTokenMillis(replay(smallRequests).results(), isSmall());
            measureLarge(measurements, " many small requests", 1, smallRequests, p95Before);
            measureLarge(measurements, " few long requests", 10, smallRequests, p95Before);
            measureBacklog(measurements, " all waiting with small requests", 1);
            measureBacklog(measurements, " all waiting with long requests from the large one", 10);
        }

        private void measureLarge(
                List<Measurement> measurements,
                String title,
                int lengthFactor,
                List<TraceRequest> smallRequests,
                double p95Before) {
            Deployment.RankLoad rank = rank();
            double requestsPerSecond =
                    LARGE_DEMAND_FACTOR * smallRequests.size() / SMALL_CUSTOMERS / DURATION.toSeconds() / lengthFactor;
            List<TraceRequest> requests = new ArrayList<>(smallRequests);
            requests.addAll(TraceGenerator.of(settings.seed())
                    .fromCustomer(
                            LARGE_CUSTOMER,
                            rank.name(),
                            requestsPerSecond,
                            rank.meanOutputTokens() * lengthFactor,
                            0,
                            DURATION));
            ServingReplay replay = replay(TraceGenerator.sorted(requests));
            String scenario = deployment.name() + title;
            double p95During = Stats.p95FirstTokenMillis(replay.results(), isSmall());
            measurements.add(Measurement.of(
                    scenario,
                    policy,
                    "small p95 first token ratio",
                    p95During / p95Before,
                    Bound.atMost(MAX_LATENCY_RATIO)));
            measurements.add(Measurement.of(scenario, policy, "small p95 first token ms", p95During));
            measurements.add(Measurement.of(scenario, policy, "small refused", refusedFraction(replay.results())));
            measurements.add(Measurement.of(
                    scenario,
                    policy,
                    "busy part of capacity",
                    replay.utilizationWhileWaiting(),
                    Bound.atLeast(MIN_UTILIZATION)));
        }

        private void measureBacklog(List<Measurement> measurements, String title, int lengthFactor) {
            Deployment.RankLoad rank = rank();
            TraceGenerator generator = TraceGenerator.of(settings.seed());
            double requestsPerSecond = deployment.requestsPerSecond(rank, BACKLOGGED_LOAD);
            List<TraceRequest> requests = new ArrayList<>();
            for (int customer = 0; customer <= SMALL_CUSTOMERS; customer++) {
                boolean large = customer == 0;
                requests.addAll(generator.fromCustomer(
                        "customer-" + customer,
                        rank.name(),
                        large ? requestsPerSecond * LARGE_DEMAND_FACTOR / lengthFactor : requestsPerSecond,
                        large ? rank.meanOutputTokens() * lengthFactor : rank.meanOutputTokens(),
                        0,
                        DURATION));
            }
            ServingReplay replay = replay(TraceGenerator.sorted(requests));
            String scenario = deployment.name() + title;
            measurements.add(Measurement.of(
                    scenario,
                    policy,
                    "Jain's index of cost per weight",
                    jainIndex(replay.results()),
                    Bound.atLeast(MIN_JAIN_INDEX)));
            measurements.add(Measurement.of(
                    scenario,
                    policy,
                    "busy part of capacity",
                    replay.utilizationWhileWaiting(),
                    Bound.atLeast(MIN_UTILIZATION)));
        }

        /** Returns the recorded requests of the middle rank, distributed evenly over the small customers. */
        private List<TraceRequest> smallRequests() {
            List<TraceRequest> requests = new ArrayList<>();
            for (TraceRequest request : settings.trace(deployment)) {
                if (request.rank().equals(rank().name())) {
                    requests.add(new TraceRequest(
                            request.atMillis(),
                            request.id(),
                            "customer-" + (1 + requests.size() % SMALL_CUSTOMERS),
                            request.rank(),
                            request.prefix(),
                            request.promptTokens(),
                            request.outputTokens(),
                            request.maxTokens()));
                }
            }
            return requests;
        }

        private ServingReplay replay(List<TraceRequest> requests) {
            ServingReplay replay = ServingReplay.of(deployment, policies, settings.seed());
            replay.setWeight(HEAVY_CUSTOMER, HEAVY_WEIGHT);
            replay.replay(requests, END_MILLIS);
            return replay;
        }

        private Deployment.RankLoad rank() {
            return deployment.ranks().get(1);
        }

        private static double jainIndex(Collection<RequestResult> results) {
            double[] costs = new double[SMALL_CUSTOMERS + 1];
            for (RequestResult result : results) {
                if (result.isFinished() && result.endMillis() >= MEASURED_FROM_MILLIS) {
                    TraceRequest request = result.request();
                    int number = Integer.parseInt(request.customer().substring("customer-".length()));
                    double weight = request.customer().equals(HEAVY_CUSTOMER) ? HEAVY_WEIGHT : 1;
                    costs[number] += (request.promptTokens() + request.outputTokens()) / weight;
                }
            }
            return Stats.jainIndex(costs);
        }

        private static double refusedFraction(Collection<RequestResult> results) {
            double all = results.stream().filter(isSmall()).count();
            return results.stream()
                            .filter(isSmall().and(RequestResult::isRefused))
                            .count()
                    / all;
        }

        private static Predicate<RequestResult> isSmall() {
            return result -> !result.request().customer().equals(LARGE_CUSTOMER);
        }
    }
}
