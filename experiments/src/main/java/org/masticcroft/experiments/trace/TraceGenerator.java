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
    private static final double LARGE_CUSTOMER_PART = 0.5;
    private static final int MIN_PROMPT = 50;
    private static final int MAX_PROMPT = 800;
    private static final int MAX_TOKENS = 4096;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final UniformRandomProvider random;
    private final double[] prefixWeights = new double[PREFIXES];

    private TraceGenerator(long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        double sum = 0;
        for (int prefix = 0; prefix < PREFIXES; prefix++) {
            sum += Math.pow(prefix + 1, -ZIPF_EXPONENT);
            prefixWeights[prefix] = sum;
        }
    }

    /** Creates a generator; equal seeds generate equal requests. */
    public static TraceGenerator of(long seed) {
        return new TraceGenerator(seed);
    }

    /** Generates the usual load of a deployment. */
    public List<TraceRequest> usual(Deployment deployment, Duration length) {
        List<TraceRequest> requests = new ArrayList<>();
        for (Deployment.RankLoad rank : deployment.ranks()) {
            double perSecond = deployment.requestsPerSecond(rank, rank.load());
            requests.addAll(stream("r-" + rank.name(), rank.name(), perSecond, rank.meanOutput(), 0, length));
        }
        return sorted(requests);
    }

    /** Generates requests of one rank from all customers, half of them from the large ones. */
    public List<TraceRequest> stream(
            String idPrefix, String rank, double perSecond, int meanOutput, long startMillis, Duration length) {
        List<TraceRequest> requests = new ArrayList<>();
        double at = startMillis + gapMillis(perSecond);
        while (at < startMillis + length.toMillis()) {
            requests.add(request(idPrefix + "-" + requests.size(), rank, customer(), (long) at, meanOutput));
            at += gapMillis(perSecond);
        }
        return requests;
    }

    /** Generates requests of one rank from one customer. */
    public List<TraceRequest> streamOf(
            String customer, String rank, double perSecond, int meanOutput, long startMillis, Duration length) {
        List<TraceRequest> requests = new ArrayList<>();
        double at = startMillis + gapMillis(perSecond);
        while (at < startMillis + length.toMillis()) {
            String id = customer + "-" + rank + "-" + startMillis + "-" + requests.size();
            requests.add(request(id, rank, customer, (long) at, meanOutput));
            at += gapMillis(perSecond);
        }
        return requests;
    }

    /** Returns requests in the order of arrival. */
    public static List<TraceRequest> sorted(List<TraceRequest> requests) {
        return requests.stream()
                .sorted(Comparator.comparingLong(TraceRequest::atMillis).thenComparing(TraceRequest::id))
                .toList();
    }

    private TraceRequest request(String id, String rank, String customer, long atMillis, int meanOutput) {
        int output = (int) Math.min(MAX_TOKENS, 1 + exponential() * meanOutput);
        int max = Math.min(MAX_TOKENS, 64 * (1 + (output + random.nextInt(3 * meanOutput)) / 64));
        int prompt = MIN_PROMPT + random.nextInt(MAX_PROMPT - MIN_PROMPT);
        return new TraceRequest(atMillis, id, customer, rank, prefix(), prompt, output, max);
    }

    private String customer() {
        boolean large = random.nextDouble() < LARGE_CUSTOMER_PART;
        int small = Deployment.CUSTOMERS - Deployment.LARGE_CUSTOMERS;
        int number =
                large ? random.nextInt(Deployment.LARGE_CUSTOMERS) : Deployment.LARGE_CUSTOMERS + random.nextInt(small);
        return "customer-" + number;
    }

    private int prefix() {
        double mark = random.nextDouble() * prefixWeights[PREFIXES - 1];
        int prefix = 0;
        while (prefixWeights[prefix] < mark) {
            prefix++;
        }
        return prefix + 1;
    }

    private double gapMillis(double perSecond) {
        return exponential() / perSecond * MILLIS_PER_SECOND;
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }
}
