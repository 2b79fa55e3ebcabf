package org.masticcroft.entry.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.kernel.time.TimeSource;

/** Token bucket per customer; a bucket holds the requests of one second. Safe for use by many threads. */
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
     * Takes one request from the bucket of a customer.
     *
     * @param requestsPerSecond limit; 0 is unlimited
     * @return empty if the request is within the limit, otherwise the time until the next one will be
     */
    public synchronized Optional<Duration> tryAcquire(String customer, double requestsPerSecond) {
        if (requestsPerSecond <= 0) {
            return Optional.empty();
        }
        double size = Math.max(1, requestsPerSecond);
        long now = time.nanoTime();
        Bucket bucket = buckets.computeIfAbsent(customer, key -> new Bucket(size, now));
        double refill = (now - bucket.filledNanos) / NANOS_PER_SECOND * requestsPerSecond;
        bucket.tokens = Math.min(size, bucket.tokens + refill);
        bucket.filledNanos = now;
        if (bucket.tokens >= 1) {
            bucket.tokens -= 1;
            return Optional.empty();
        }
        double waitSeconds = (1 - bucket.tokens) / requestsPerSecond;
        return Optional.of(Duration.ofNanos((long) (waitSeconds * NANOS_PER_SECOND)));
    }

    private static final class Bucket {
        private double tokens;
        private long filledNanos;

        private Bucket(double tokens, long filledNanos) {
            this.tokens = tokens;
            this.filledNanos = filledNanos;
        }
    }
}
