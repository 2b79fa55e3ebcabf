package org.masticcroft.experiments.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import org.masticcroft.experiments.Experiment;
import org.masticcroft.experiments.ExperimentSettings;
import org.masticcroft.experiments.replay.FakeEngine;
import org.masticcroft.experiments.report.Bound;
import org.masticcroft.experiments.report.Measurement;
import org.masticcroft.experiments.report.Report;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceGenerator;
import org.masticcroft.experiments.trace.TraceRequest;

/** Measures the service of each rank while one or two ranks demand ten times the capacity. */
public final class RankExperiment implements Experiment {
    private static final double FLOOD_LOAD_FACTOR = 10;
    private static final long FLOOD_START_MILLIS = 10_000;
    private static final Duration FLOOD_DURATION = Duration.ofSeconds(40);
    private static final long FLOOD_END_MILLIS = FLOOD_START_MILLIS + FLOOD_DURATION.toMillis();
    private static final long END_MILLIS = 130_000;
    private static final String FLOOD_CUSTOMER = "customer-0";

    /** A refusal within this time counts as immediate. */
    private static final double MAX_REFUSAL_MILLIS = 10;

    @Override
    public String name() {
        return "rank";
    }

    @Override
    public Report run(ExperimentSettings settings) {
        List<Measurement> measurements = new ArrayList<>();
        for (Deployment deployment : settings.deployments()) {
            measure(deployment, "ranked-fair", ServingReplay.Policies.current(), settings, measurements);
            measure(deployment, "fifo", ServingReplay.Policies.baseline(), settings, measurements);
        }
        return new Report(name(), measurements);
    }

    private static void measure(
            Deployment deployment,
            String policy,
            ServingReplay.Policies policies,
            ExperimentSettings settings,
            List<Measurement> measurements) {
        for (Fault fault : Fault.values()) {
            Collection<RequestResult> withoutFlood = replay(deployment, policies, settings, fault, false, false);
            for (Flood flood : Flood.values()) {
                if (fault == Fault.NONE || flood == Flood.LEAST) {
                    Collection<RequestResult> results = replay(
                            deployment, policies, settings, fault, flood.floodsLeastUrgent, flood.floodsMostUrgent);
                    String scenario = deployment.name() + " flood of " + flood.title + fault.title;
                    measurements.addAll(
                            new Comparison(deployment, scenario, policy, flood).measurements(withoutFlood, results));
                }
            }
        }
    }

    private static Collection<RequestResult> replay(
            Deployment deployment,
            ServingReplay.Policies policies,
            ExperimentSettings settings,
            Fault fault,
            boolean floodsLeastUrgent,
            boolean floodsMostUrgent) {
        List<TraceRequest> requests = new ArrayList<>(settings.trace(deployment));
        TraceGenerator generator = TraceGenerator.of(settings.seed());
        List<Deployment.RankLoad> ranks = deployment.ranks();
        if (floodsLeastUrgent) {
            requests.addAll(floodRequests(generator, deployment, ranks.get(ranks.size() - 1)));
        }
        if (floodsMostUrgent) {
            requests.addAll(floodRequests(generator, deployment, ranks.get(0)));
        }
        ServingReplay replay = ServingReplay.of(deployment, policies, settings.seed());
        fault.schedule(replay);
        replay.replay(TraceGenerator.sorted(requests), END_MILLIS);
        return replay.results();
    }

    private static List<TraceRequest> floodRequests(
            TraceGenerator generator, Deployment deployment, Deployment.RankLoad rank) {
        double requestsPerSecond = deployment.requestsPerSecond(rank, FLOOD_LOAD_FACTOR);
        return generator.fromCustomer(
                FLOOD_CUSTOMER,
                rank.name(),
                requestsPerSecond,
                rank.meanOutputTokens(),
                FLOOD_START_MILLIS,
                FLOOD_DURATION);
    }

    private enum Flood {
        LEAST("least urgent", true, false),
        MOST("most urgent", false, true),
        BOTH("both", true, true);

        private final String title;
        private final boolean floodsLeastUrgent;
        private final boolean floodsMostUrgent;

        Flood(String title, boolean floodsLeastUrgent, boolean floodsMostUrgent) {
            this.title = title;
            this.floodsLeastUrgent = floodsLeastUrgent;
            this.floodsMostUrgent = floodsMostUrgent;
        }
    }

    private enum Fault {
        NONE(""),
        ROLLOUT(" during a rollout"),
        DEAD(" with a third dead");

        /** Slowdown of an engine that loads a version while it serves another. */
        private static final double LOADING_SLOWDOWN = 1.5;

        private static final long LOADING_MILLIS = 4_000;

        private final String title;

        Fault(String title) {
            this.title = title;
        }

        private void schedule(ServingReplay replay) {
            List<FakeEngine> engines = List.copyOf(replay.engines());
            for (int number = 0; number < engines.size(); number++) {
                FakeEngine engine = engines.get(number);
                long start = (FLOOD_START_MILLIS + number * LOADING_MILLIS) * 1_000_000;
                if (this == ROLLOUT) {
                    replay.loop().scheduleAt(start, () -> engine.setSlowdown(LOADING_SLOWDOWN));
                    replay.loop().scheduleAt(start + LOADING_MILLIS * 1_000_000, () -> engine.setSlowdown(1));
                } else if (this == DEAD && number < engines.size() / 3) {
                    replay.loop().scheduleAt((FLOOD_START_MILLIS + 10_000) * 1_000_000, engine::crash);
                }
            }
        }
    }

    private record Comparison(Deployment deployment, String scenario, String policy, Flood flood) {
        private static final double MAX_LATENCY_RATIO = 1.1;
        private static final double MIN_WITHIN_TARGET = 0.99;
        private static final double MIN_SHARE_KEPT = 0.9;

        private List<Measurement> measurements(
                Collection<RequestResult> withoutFlood, Collection<RequestResult> results) {
            List<Measurement> measurements = new ArrayList<>();
            Deployment.RankLoad topRank = deployment.ranks().get(0);
            Predicate<RequestResult> usualRequests =
                    arrivedDuringFlood().and(hasRank(topRank.name())).and(result -> !isFloodRequest(result));
            Predicate<RequestResult> fromOtherCustomers =
                    usualRequests.and(result -> !result.request().customer().equals(FLOOD_CUSTOMER));
            Predicate<RequestResult> accepted = arrivedDuringFlood().and(hasRank(topRank.name()));
            Predicate<RequestResult> compared = flood.floodsMostUrgent ? fromOtherCustomers : usualRequests;
            double p95Before = Stats.p95FirstTokenMillis(withoutFlood, compared);
            double p95During = Stats.p95FirstTokenMillis(results, compared);
            String population = flood.floodsMostUrgent ? "top rank without the flooding customer" : "top rank";
            add(
                    measurements,
                    population + " p95 first token ratio",
                    p95During / p95Before,
                    Bound.atMost(MAX_LATENCY_RATIO));
            measurements.add(Measurement.of(scenario, policy, population + " p95 first token ms", p95During));
            if (flood.floodsMostUrgent) {
                double allP95During = Stats.p95FirstTokenMillis(results, accepted);
                double allP95Before = Stats.p95FirstTokenMillis(withoutFlood, accepted);
                add(
                        measurements,
                        "top rank all accepted p95 first token ratio",
                        allP95During / allP95Before,
                        Bound.atMost(MAX_LATENCY_RATIO));
            }
            double withinTarget = Stats.fractionWithinTarget(
                    results, accepted, topRank.target().toMillis());
            add(measurements, "top rank accepted in target", withinTarget, Bound.atLeast(MIN_WITHIN_TARGET));
            measurements.add(
                    Measurement.of(scenario, policy, "top rank others refused", refusedFraction(results, compared)));
            if (flood.floodsMostUrgent) {
                for (Deployment.RankLoad rank : deployment.ranks().subList(1, 3)) {
                    double keptFraction = shareKept(results, rank);
                    add(
                            measurements,
                            rank.name() + " part of its share kept",
                            keptFraction,
                            Bound.atLeast(MIN_SHARE_KEPT));
                }
            }
            double maxRefusalMillis = results.stream()
                    .filter(RequestResult::isRefused)
                    .mapToDouble(RequestResult::refusalMillis)
                    .max()
                    .orElse(0);
            add(measurements, "latest refusal ms", maxRefusalMillis, Bound.atMost(MAX_REFUSAL_MILLIS));
            return measurements;
        }

        private void add(List<Measurement> measurements, String metric, double value, Bound bound) {
            measurements.add(Measurement.of(scenario, policy, metric, value, bound));
        }

        private static double refusedFraction(Collection<RequestResult> results, Predicate<RequestResult> filter) {
            double total = results.stream().filter(filter).count();
            return results.stream().filter(filter.and(RequestResult::isRefused)).count() / total;
        }

        /** Returns the served tokens relative to the smaller of the share and the demand of the rank. */
        private double shareKept(Collection<RequestResult> results, Deployment.RankLoad rank) {
            Predicate<RequestResult> endedDuringFlood = result -> result.isFinished()
                    && result.endMillis() >= FLOOD_START_MILLIS
                    && result.endMillis() < FLOOD_END_MILLIS;
            double total = tokens(results, endedDuringFlood);
            double demand = tokens(results, arrivedDuringFlood().and(hasRank(rank.name())));
            return tokens(results, endedDuringFlood.and(hasRank(rank.name()))) / Math.min(rank.share() * total, demand);
        }

        private static double tokens(Collection<RequestResult> results, Predicate<RequestResult> filter) {
            return results.stream()
                    .filter(filter)
                    .mapToDouble(result -> result.request().outputTokens())
                    .sum();
        }

        private static Predicate<RequestResult> arrivedDuringFlood() {
            return result -> result.request().atMillis() >= FLOOD_START_MILLIS
                    && result.request().atMillis() < FLOOD_END_MILLIS;
        }

        private static Predicate<RequestResult> hasRank(String rank) {
            return result -> result.request().rank().equals(rank);
        }

        private static boolean isFloodRequest(RequestResult result) {
            return result.request().id().startsWith(FLOOD_CUSTOMER);
        }
    }
}
