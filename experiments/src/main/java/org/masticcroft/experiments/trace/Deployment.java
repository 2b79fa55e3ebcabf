package org.masticcroft.experiments.trace;

import java.time.Duration;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.masticcroft.kernel.config.RankConfig;

/**
 * Size and usual load of a deployment, from which its trace is generated.
 *
 * @param name name of the deployment and of its trace file, without extension
 * @param engines number of model engines
 * @param ranks the ranks, most urgent first
 */
public record Deployment(String name, int engines, List<RankLoad> ranks) {
    /** Slots of each engine; a running request occupies one. */
    public static final int SLOTS_PER_ENGINE = 16;

    /** Time between two tokens of a request in milliseconds. */
    public static final double TOKEN_MILLIS = 25;

    /** Time to process one prompt token that is not cached, in milliseconds. */
    public static final double PREFILL_MILLIS_PER_TOKEN = 0.1;

    /** Number of customers; the first {@link #LARGE_CUSTOMER_COUNT} are large. */
    public static final int CUSTOMER_COUNT = 10;

    /** Number of large customers. */
    public static final int LARGE_CUSTOMER_COUNT = 2;

    public Deployment {
        ranks = List.copyOf(ranks);
    }

    /** Returns the deployment of the seaport operator. */
    public static Deployment seaport() {
        return new Deployment(
                "port",
                8,
                List.of(
                        new RankLoad("crew", 0.6, Duration.ofMillis(1_300), 64, 0.25, 80),
                        new RankLoad("status", 0.2, Duration.ofSeconds(3), 128, 0.22, 120),
                        new RankLoad("drafting", 0.1, Duration.ofSeconds(60), 256, 0.15, 400)));
    }

    /** Returns the deployment of the bulletin publisher. */
    public static Deployment bulletin() {
        return new Deployment(
                "bulletin",
                11,
                List.of(
                        new RankLoad("filing", 0.5, Duration.ofMillis(1_300), 64, 0.2, 60),
                        new RankLoad("reading", 0.25, Duration.ofSeconds(3), 128, 0.27, 100),
                        new RankLoad("summary", 0.15, Duration.ofSeconds(60), 256, 0.18, 300)));
    }

    /** Returns both deployments. */
    public static List<Deployment> all() {
        return List.of(seaport(), bulletin());
    }

    /** Returns the admission settings of the ranks by rank name. */
    public SortedMap<String, RankConfig> rankConfigs() {
        SortedMap<String, RankConfig> configs = new TreeMap<>();
        for (int order = 0; order < ranks.size(); order++) {
            RankLoad rank = ranks.get(order);
            configs.put(rank.name(), new RankConfig(order, rank.share(), rank.target(), rank.queueLimit()));
        }
        return configs;
    }

    /** Returns the request rate of a rank that uses a fraction of the capacity of all engines. */
    public double requestsPerSecond(RankLoad rank, double fractionOfCapacity) {
        return fractionOfCapacity * engines * SLOTS_PER_ENGINE * 1_000 / (rank.meanOutputTokens() * TOKEN_MILLIS);
    }

    /**
     * A rank with its usual load.
     *
     * @param name name of the rank
     * @param share guaranteed share of the capacity
     * @param target target for the time to the first token
     * @param queueLimit largest number of waiting requests
     * @param load usual load as a fraction of the capacity of all engines
     * @param meanOutput mean length of an answer in tokens
     */
    public record RankLoad(
            String name, double share, Duration target, int queueLimit, double loadFraction, int meanOutputTokens) {}
}
