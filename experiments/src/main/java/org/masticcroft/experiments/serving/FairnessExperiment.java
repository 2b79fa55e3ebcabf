package org.masticcroft.experiments.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import org.masticcroft.experiments.Experiment;
import org.masticcroft.experiments.ExperimentSettings;
import org.masticcroft.experiments.report.Bound;
import org.masticcroft.experiments.report.Measure;
import org.masticcroft.experiments.report.Report;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceGenerator;
import org.masticcroft.experiments.trace.TraceRequest;

/** Service of small customers while one customer asks for fifty times as much as each of them. */
public final class FairnessExperiment implements Experiment {
    private static final double LARGE = 50;
    private static final int SMALL_CUSTOMERS = 9;
    private static final String LARGE_CUSTOMER = "customer-0";
    private static final String HEAVY_CUSTOMER = "customer-1";
    private static final double HEAVY_WEIGHT = 2;
    private static final Duration LENGTH = Duration.ofSeconds(60);
    private static final long MEASURED_FROM_MILLIS = 15_000;
    private static final long END_MILLIS = 60_000;

    /** Load of each customer in the scenario in which all have waiting work, as a part of the capacity. */
    private static final double BACKLOGGED_LOAD = 0.3;

    @Override
    public String name() {
        return "fairness";
    }

    @Override
    public Report run(ExperimentSettings settings) {
        List<Measure> measures = new ArrayList<>();
        for (Deployment deployment : settings.deployments()) {
            new Run(deployment, "ranked-fair", ServingReplay.Policies.inUse(), settings).measure(measures);
            new Run(deployment, "fifo", ServingReplay.Policies.baseline(), settings).measure(measures);
        }
        return new Report(name(), measures);
    }

    private record Run(
            Deployment deployment, String policy, ServingReplay.Policies policies, ExperimentSettings settings) {
        private static final double MAX_SLOWER = 1.2;
        private static final double MIN_JAIN = 0.95;
        private static final double MIN_BUSY = 0.95;

        private void measure(List<Measure> measures) {
            List<TraceRequest> small = smallRequests();
            double before = Stats.p95FirstTokenMillis(replay(small).results(), isSmall());
            measureLarge(measures, " many small requests", 1, small, before);
            measureLarge(measures, " few long requests", 10, small, before);
            measureBacklog(measures, " all waiting with small requests", 1);
            measureBacklog(measures, " all waiting with long requests from the large one", 10);
        }

        private void measureLarge(
                List<Measure> measures, String title, int longer, List<TraceRequest> small, double before) {
            Deployment.RankLoad rank = rank();
            double perSecond = LARGE * small.size() / SMALL_CUSTOMERS / LENGTH.toSeconds() / longer;
            List<TraceRequest> requests = new ArrayList<>(small);
            requests.addAll(TraceGenerator.of(settings.seed())
                    .streamOf(LARGE_CUSTOMER, rank.name(), perSecond, rank.meanOutput() * longer, 0, LENGTH));
            ServingReplay replay = replay(TraceGenerator.sorted(requests));
            String scenario = deployment.name() + title;
            double during = Stats.p95FirstTokenMillis(replay.results(), isSmall());
            measures.add(Measure.of(
                    scenario, policy, "small p95 first token ratio", during / before, Bound.atMost(MAX_SLOWER)));
            measures.add(Measure.of(scenario, policy, "small p95 first token ms", during));
            measures.add(Measure.of(scenario, policy, "small refused", refused(replay.results())));
            measures.add(Measure.of(
                    scenario, policy, "busy part of capacity", replay.busyWhileWaiting(), Bound.atLeast(MIN_BUSY)));
        }

        private void measureBacklog(List<Measure> measures, String title, int longer) {
            Deployment.RankLoad rank = rank();
            TraceGenerator generator = TraceGenerator.of(settings.seed());
            double perSecond = deployment.requestsPerSecond(rank, BACKLOGGED_LOAD);
            List<TraceRequest> requests = new ArrayList<>();
            for (int number = 0; number <= SMALL_CUSTOMERS; number++) {
                boolean large = number == 0;
                requests.addAll(generator.streamOf(
                        "customer-" + number,
                        rank.name(),
                        large ? perSecond * LARGE / longer : perSecond,
                        large ? rank.meanOutput() * longer : rank.meanOutput(),
                        0,
                        LENGTH));
            }
            ServingReplay replay = replay(TraceGenerator.sorted(requests));
            String scenario = deployment.name() + title;
            measures.add(Measure.of(
                    scenario,
                    policy,
                    "Jain's index of cost per weight",
                    jain(replay.results()),
                    Bound.atLeast(MIN_JAIN)));
            measures.add(Measure.of(
                    scenario, policy, "busy part of capacity", replay.busyWhileWaiting(), Bound.atLeast(MIN_BUSY)));
        }

        /** Returns the recorded requests of the middle rank, dealt out to equal small customers. */
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
            replay.weigh(HEAVY_CUSTOMER, HEAVY_WEIGHT);
            replay.replay(requests, END_MILLIS);
            return replay;
        }

        private Deployment.RankLoad rank() {
            return deployment.ranks().get(1);
        }

        private static double jain(Collection<Served> results) {
            double[] costs = new double[SMALL_CUSTOMERS + 1];
            for (Served result : results) {
                if (result.isFinished() && result.endMillis() >= MEASURED_FROM_MILLIS) {
                    TraceRequest request = result.request();
                    int number = Integer.parseInt(request.customer().substring("customer-".length()));
                    double weight = request.customer().equals(HEAVY_CUSTOMER) ? HEAVY_WEIGHT : 1;
                    costs[number] += (request.promptTokens() + request.outputTokens()) / weight;
                }
            }
            return Stats.jain(costs);
        }

        private static double refused(Collection<Served> results) {
            double all = results.stream().filter(isSmall()).count();
            return results.stream().filter(isSmall().and(Served::isRefused)).count() / all;
        }

        private static Predicate<Served> isSmall() {
            return result -> !result.request().customer().equals(LARGE_CUSTOMER);
        }
    }
}
