package org.masticcroft.experiments.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import org.masticcroft.experiments.Experiment;
import org.masticcroft.experiments.ExperimentSettings;
import org.masticcroft.experiments.replay.EngineFake;
import org.masticcroft.experiments.report.Bound;
import org.masticcroft.experiments.report.Measure;
import org.masticcroft.experiments.report.Report;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceGenerator;
import org.masticcroft.experiments.trace.TraceRequest;

/** Service by rank while one or two ranks ask for ten times the capacity. */
public final class RankExperiment implements Experiment {
    private static final double FLOOD = 10;
    private static final long FLOOD_START_MILLIS = 10_000;
    private static final Duration FLOOD_LENGTH = Duration.ofSeconds(40);
    private static final long FLOOD_END_MILLIS = FLOOD_START_MILLIS + FLOOD_LENGTH.toMillis();
    private static final long END_MILLIS = 130_000;
    private static final String FLOOD_CUSTOMER = "customer-0";

    /** A refusal within this time counts as at once. */
    private static final double AT_ONCE_MILLIS = 10;

    @Override
    public String name() {
        return "rank";
    }

    @Override
    public Report run(ExperimentSettings settings) {
        List<Measure> measures = new ArrayList<>();
        for (Deployment deployment : settings.deployments()) {
            measure(deployment, "ranked-fair", ServingReplay.Policies.inUse(), settings, measures);
            measure(deployment, "fifo", ServingReplay.Policies.baseline(), settings, measures);
        }
        return new Report(name(), measures);
    }

    private static void measure(
            Deployment deployment,
            String policy,
            ServingReplay.Policies policies,
            ExperimentSettings settings,
            List<Measure> measures) {
        for (Fault fault : Fault.values()) {
            Collection<Served> calm = replay(deployment, policies, settings, fault, false, false);
            for (Flood flood : Flood.values()) {
                if (fault == Fault.NONE || flood == Flood.LEAST) {
                    Collection<Served> results = replay(deployment, policies, settings, fault, flood.least, flood.most);
                    String scenario = deployment.name() + " flood of " + flood.title + fault.title;
                    measures.addAll(new Comparison(deployment, scenario, policy, flood).measures(calm, results));
                }
            }
        }
    }

    private static Collection<Served> replay(
            Deployment deployment,
            ServingReplay.Policies policies,
            ExperimentSettings settings,
            Fault fault,
            boolean least,
            boolean most) {
        List<TraceRequest> requests = new ArrayList<>(settings.trace(deployment));
        TraceGenerator generator = TraceGenerator.of(settings.seed());
        List<Deployment.RankLoad> ranks = deployment.ranks();
        if (least) {
            requests.addAll(flood(generator, deployment, ranks.get(ranks.size() - 1)));
        }
        if (most) {
            requests.addAll(flood(generator, deployment, ranks.get(0)));
        }
        ServingReplay replay = ServingReplay.of(deployment, policies, settings.seed());
        fault.schedule(replay);
        replay.replay(TraceGenerator.sorted(requests), END_MILLIS);
        return replay.results();
    }

    private static List<TraceRequest> flood(TraceGenerator generator, Deployment deployment, Deployment.RankLoad rank) {
        double perSecond = deployment.requestsPerSecond(rank, FLOOD);
        return generator.streamOf(
                FLOOD_CUSTOMER, rank.name(), perSecond, rank.meanOutput(), FLOOD_START_MILLIS, FLOOD_LENGTH);
    }

    private enum Flood {
        LEAST("least urgent", true, false),
        MOST("most urgent", false, true),
        BOTH("both", true, true);

        private final String title;
        private final boolean least;
        private final boolean most;

        Flood(String title, boolean least, boolean most) {
            this.title = title;
            this.least = least;
            this.most = most;
        }
    }

    private enum Fault {
        NONE(""),
        ROLLOUT(" during a rollout"),
        DEAD(" with a third dead");

        /** Slow-down of an engine that loads a version beside the one that it serves. */
        private static final double LOADING_SLOWNESS = 1.5;

        private static final long LOADING_MILLIS = 4_000;

        private final String title;

        Fault(String title) {
            this.title = title;
        }

        private void schedule(ServingReplay replay) {
            List<EngineFake> engines = List.copyOf(replay.engines());
            for (int number = 0; number < engines.size(); number++) {
                EngineFake engine = engines.get(number);
                long start = (FLOOD_START_MILLIS + number * LOADING_MILLIS) * 1_000_000;
                if (this == ROLLOUT) {
                    replay.loop().at(start, () -> engine.slowDown(LOADING_SLOWNESS));
                    replay.loop().at(start + LOADING_MILLIS * 1_000_000, () -> engine.slowDown(1));
                } else if (this == DEAD && number < engines.size() / 3) {
                    replay.loop().at((FLOOD_START_MILLIS + 10_000) * 1_000_000, engine::die);
                }
            }
        }
    }

    private record Comparison(Deployment deployment, String scenario, String policy, Flood flood) {
        private static final double MAX_SLOWER = 1.1;
        private static final double MIN_IN_TARGET = 0.99;
        private static final double MIN_SHARE_KEPT = 0.9;

        private List<Measure> measures(Collection<Served> calm, Collection<Served> results) {
            List<Measure> measures = new ArrayList<>();
            Deployment.RankLoad top = deployment.ranks().get(0);
            Predicate<Served> usual = inFlood().and(of(top.name())).and(result -> !isFlood(result));
            Predicate<Served> others =
                    usual.and(result -> !result.request().customer().equals(FLOOD_CUSTOMER));
            Predicate<Served> accepted = inFlood().and(of(top.name()));
            Predicate<Served> compared = flood.most ? others : usual;
            double before = Stats.p95FirstTokenMillis(calm, compared);
            double during = Stats.p95FirstTokenMillis(results, compared);
            String who = flood.most ? "top rank without the flooding customer" : "top rank";
            add(measures, who + " p95 first token ratio", during / before, Bound.atMost(MAX_SLOWER));
            measures.add(Measure.of(scenario, policy, who + " p95 first token ms", during));
            if (flood.most) {
                double all = Stats.p95FirstTokenMillis(results, accepted);
                double allBefore = Stats.p95FirstTokenMillis(calm, accepted);
                add(measures, "top rank all accepted p95 first token ratio", all / allBefore, Bound.atMost(MAX_SLOWER));
            }
            double inTarget = Stats.partInTarget(results, accepted, top.target().toMillis());
            add(measures, "top rank accepted in target", inTarget, Bound.atLeast(MIN_IN_TARGET));
            measures.add(Measure.of(scenario, policy, "top rank others refused", refused(results, compared)));
            if (flood.most) {
                for (Deployment.RankLoad rank : deployment.ranks().subList(1, 3)) {
                    double kept = shareKept(results, rank);
                    add(measures, rank.name() + " part of its share kept", kept, Bound.atLeast(MIN_SHARE_KEPT));
                }
            }
            double latest = results.stream()
                    .filter(Served::isRefused)
                    .mapToDouble(Served::refusalMillis)
                    .max()
                    .orElse(0);
            add(measures, "latest refusal ms", latest, Bound.atMost(AT_ONCE_MILLIS));
            return measures;
        }

        private void add(List<Measure> measures, String metric, double value, Bound bound) {
            measures.add(Measure.of(scenario, policy, metric, value, bound));
        }

        private static double refused(Collection<Served> results, Predicate<Served> which) {
            double all = results.stream().filter(which).count();
            return results.stream().filter(which.and(Served::isRefused)).count() / all;
        }

        /** Returns the served part relative to what the rank may expect: its share, or its demand if that is less. */
        private double shareKept(Collection<Served> results, Deployment.RankLoad rank) {
            Predicate<Served> ended = result -> result.isFinished()
                    && result.endMillis() >= FLOOD_START_MILLIS
                    && result.endMillis() < FLOOD_END_MILLIS;
            double total = tokens(results, ended);
            double demand = tokens(results, inFlood().and(of(rank.name())));
            return tokens(results, ended.and(of(rank.name()))) / Math.min(rank.share() * total, demand);
        }

        private static double tokens(Collection<Served> results, Predicate<Served> which) {
            return results.stream()
                    .filter(which)
                    .mapToDouble(result -> result.request().outputTokens())
                    .sum();
        }

        private static Predicate<Served> inFlood() {
            return result -> result.request().atMillis() >= FLOOD_START_MILLIS
                    && result.request().atMillis() < FLOOD_END_MILLIS;
        }

        private static Predicate<Served> of(String rank) {
            return result -> result.request().rank().equals(rank);
        }

        private static boolean isFlood(Served result) {
            return result.request().id().startsWith(FLOOD_CUSTOMER);
        }
    }
}
