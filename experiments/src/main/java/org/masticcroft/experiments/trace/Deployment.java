package org.masticcroft.experiments.trace;

import java.time.Duration;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.masticcroft.kernel.config.RankConfig;

/**
 * A deployment at its current scale, as the traces describe it.
 *
 * @param name name of the trace file
 * @param engines number of model engines
 * @param ranks the ranks, most urgent first
 */
public record Deployment(String name, int engines, List<RankLoad> ranks) {
    /** Slots per engine; each running request holds one. */
    public static final int SLOTS = 16;

    /** Time between two tokens of a request in milliseconds. */
    public static final double TOKEN_MILLIS = 25;

    /** Time to process one prompt token that is not cached, in milliseconds. */
    public static final double PREFILL_MILLIS = 0.1;

    /** Number of customers; the first {@link #LARGE_CUSTOMERS} are large. */
    public static final int CUSTOMERS = 10;

    /** Number of large customers. */
    public static final int LARGE_CUSTOMERS = 2;

    public Deployment {
        ranks = List.copyOf(ranks);
    }

    /** Returns the deployment of the port. */
    public static Deployment port() {
        return new Deployment(
                "port",
                8,
                List.of(
                        new RankLoad("crew", 0.6, Duration.ofMillis(1_300), 64, 0.25, 80),
                        new RankLoad("status", 0.2, Duration.ofSeconds(3), 128, 0.22, 120),
                        new RankLoad("drafting", 0.1, Duration.ofSeconds(60), 256, 0.15, 400)));
    }

    /** Returns the deployment of the bulletin house. */
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
        return List.of(port(), bulletin());
    }

    /** Returns the configuration of the ranks, by name. */
    public SortedMap<String, RankConfig> rankConfigs() {
        SortedMap<String, RankConfig> configs = new TreeMap<>();
        for (int order = 0; order < ranks.size(); order++) {
            RankLoad rank = ranks.get(order);
            configs.put(rank.name(), new RankConfig(order, rank.share(), rank.target(), rank.queueLimit()));
        }
        return configs;
    }

    /** Returns the requests per second that use a part of the capacity. */
    public double requestsPerSecond(RankLoad rank, double partOfCapacity) {
        return partOfCapacity * engines * SLOTS * 1_000 / (rank.meanOutput() * TOKEN_MILLIS);
    }

    /**
     * A rank with its usual load.
     *
     * @param name name of the rank
     * @param share guaranteed share of capacity
     * @param target target for the time to the first token
     * @param queueLimit largest number of waiting requests
     * @param load usual load as a part of the capacity
     * @param meanOutput mean length of an answer in tokens
     */
    public record RankLoad(String name, double share, Duration target, int queueLimit, double load, int meanOutput) {}
}
