package org.masticcroft.experiments.trace;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Generates requests from a seed: Poisson arrivals, exponential answer lengths, Zipf-distributed prefixes. */
public final class TraceGenerator {
    private static final int PREFIXES = 400;
    private static final double ZIPF_EXPONENT = 0.8;
    private static final double LARGE_CUSTOMER_FRACTION = 0.5;
    private static final int MIN_PROMPT_TOKENS = 50;
    private static final int MAX_PROMPT_TOKENS = 800;
    private static final int MAX_OUTPUT_TOKENS = 4096;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final UniformRandomProvider random;
    private final double[] cumulativePrefixWeights = new double[PREFIXES];

    private TraceGenerator(long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        double cumulativeWeight = 0;
        for (int prefix = 0; prefix < PREFIXES; prefix++) {
            cumulativeWeight += Math.pow(prefix + 1, -ZIPF_EXPONENT);
            cumulativePrefixWeights[prefix] = cumulativeWeight;
        }
    }

    /** Creates a generator; equal seeds generate equal requests. */
    public static TraceGenerator of(long seed) {
        return new TraceGenerator(seed);
    }

    /** Generates the usual load of a deployment. */
    public List<TraceRequest> usualLoad(Deployment deployment, Duration duration) {
        List<TraceRequest> requests = new ArrayList<>();
        for (Deployment.RankLoad rank : deployment.ranks()) {
            double requestsPerSecond = deployment.requestsPerSecond(rank, rank.loadFraction());
            requests.addAll(fromAllCustomers(
                    "r-" + rank.name(), rank.name(), requestsPerSecond, rank.meanOutputTokens(), 0, duration));
        }
        return sorted(requests);
    }

    /** Generates requests of one rank from all customers, half of them from the large customers. */
    public List<TraceRequest> fromAllCustomers(
            String idPrefix,
            String rank,
            double requestsPerSecond,
            int meanOutputTokens,
            long startMillis,
            Duration duration) {
        List<TraceRequest> requests = new ArrayList<>();
        double arrivalMillis = startMillis + interarrivalMillis(requestsPerSecond);
        while (arrivalMillis < startMillis + duration.toMillis()) {
            requests.add(request(
                    idPrefix + "-" + requests.size(), rank, customer(), (long) arrivalMillis, meanOutputTokens));
            arrivalMillis += interarrivalMillis(requestsPerSecond);
        }
        return requests;
    }

    /** Generates requests of one rank from one customer. */
    public List<TraceRequest> fromCustomer(
            String customer,
            String rank,
            double requestsPerSecond,
            int meanOutputTokens,
            long startMillis,
            Duration duration) {
        List<TraceRequest> requests = new ArrayList<>();
        double arrivalMillis = startMillis + interarrivalMillis(requestsPerSecond);
        while (arrivalMillis < startMillis + duration.toMillis()) {
            String id = customer + "-" + rank + "-" + startMillis + "-" + requests.size();
            requests.add(request(id, rank, customer, (long) arrivalMillis, meanOutputTokens));
            arrivalMillis += interarrivalMillis(requestsPerSecond);
        }
        return requests;
    }

    /** Returns the requests sorted by arrival, then by id. */
    public static List<TraceRequest> sorted(List<TraceRequest> requests) {
        return requests.stream()
                .sorted(Comparator.comparingLong(TraceRequest::atMillis).thenComparing(TraceRequest::id))
                .toList();
    }

    private TraceRequest request(String id, String rank, String customer, long atMillis, int meanOutputTokens) {
        int outputTokens = (int) Math.min(MAX_OUTPUT_TOKENS, 1 + exponential() * meanOutputTokens);
        int maxTokens =
                Math.min(MAX_OUTPUT_TOKENS, 64 * (1 + (outputTokens + random.nextInt(3 * meanOutputTokens)) / 64));
        int promptTokens = MIN_PROMPT_TOKENS + random.nextInt(MAX_PROMPT_TOKENS - MIN_PROMPT_TOKENS);
        return new TraceRequest(atMillis, id, customer, rank, prefix(), promptTokens, outputTokens, maxTokens);
    }

    private String customer() {
        boolean large = random.nextDouble() < LARGE_CUSTOMER_FRACTION;
        int small = Deployment.CUSTOMER_COUNT - Deployment.LARGE_CUSTOMER_COUNT;
        int number = large
                ? random.nextInt(Deployment.LARGE_CUSTOMER_COUNT)
                : Deployment.LARGE_CUSTOMER_COUNT + random.nextInt(small);
        return "customer-" + number;
    }

    private int prefix() {
        double target = random.nextDouble() * cumulativePrefixWeights[PREFIXES - 1];
        int prefix = 0;
        while (cumulativePrefixWeights[prefix] < target) {
            prefix++;
        }
        return prefix + 1;
    }

    private double interarrivalMillis(double requestsPerSecond) {
        return exponential() / requestsPerSecond * MILLIS_PER_SECOND;
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }
}
