package org.masticcroft.entry.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.time.TimeSource;

/** Rate limiter with a token bucket per customer; a bucket holds the requests of one second. Thread-safe. */
public final class RateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final TimeSource time;
    private final Map<String, Bucket> buckets = new HashMap<>();

    private RateLimiter(TimeSource time) {
        this.time = time;
    }

    /** Creates a limiter with full buckets. */
    public static RateLimiter of(TimeSource time) {
        return new RateLimiter(Objects.requireNonNull(time, "time"));
    }

    /**
     * Takes one token from the bucket of a customer.
     *
     * @param requestsPerSecond rate limit; 0 means unlimited
     * @return empty if the request is within the limit, otherwise the time until the next token is available
     */
    public synchronized Optional<Duration> tryAcquire(String customer, double requestsPerSecond) {
        if (requestsPerSecond <= 0) {
            return Optional.empty();
        }
        double capacity = Math.max(1, requestsPerSecond);
        long now = time.nanoTime();
        Bucket bucket = buckets.computeIfAbsent(customer, key -> new Bucket(capacity, now));
        double refill = (now - bucket.lastRefillNanos) / NANOS_PER_SECOND * requestsPerSecond;
        bucket.tokens = Math.min(capacity, bucket.tokens + refill);
        bucket.lastRefillNanos = now;
        if (bucket.tokens >= 1) {
            bucket.tokens -= 1;
            return Optional.empty();
        }
        double waitSeconds = (1 - bucket.tokens) / requestsPerSecond;
        return Optional.of(Duration.ofNanos((long) (waitSeconds * NANOS_PER_SECOND)));
    }

    private static final class Bucket {
        private double tokens;
        private long lastRefillNanos;

        private Bucket(double tokens, long lastRefillNanos) {
            this.tokens = tokens;
            this.lastRefillNanos = lastRefillNanos;
        }
    }
}
