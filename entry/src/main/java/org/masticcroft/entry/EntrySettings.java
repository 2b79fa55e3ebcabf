package org.masticcroft.entry;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of the entry role.
 *
 * @param instance instance id
 * @param region region of the instance
 * @param dataCentre data centre of the instance
 * @param keyLifetime lifetime of idempotency keys; a quarter of the retention time of the log
 * @param clockUncertainty uncertainty of the wall clock, stated in audit records
 * @param workerThreads number of threads that run requests and write answers
 * @param maxRequests maximum number of requests in progress; further ones are refused
 * @param outcomeCacheBytes maximum size of the stored answers of orders in bytes
 */
public record EntrySettings(
        String instance,
        String region,
        String dataCentre,
        Duration keyLifetime,
        Duration clockUncertainty,
        int workerThreads,
        int maxRequests,
        long outcomeCacheBytes) {
    private static final Duration DEFAULT_KEY_LIFETIME = Duration.ofHours(6);
    private static final Duration DEFAULT_CLOCK_UNCERTAINTY = Duration.ofSeconds(1);
    private static final int DEFAULT_WORKER_THREADS = 64;
    private static final int DEFAULT_MAX_REQUESTS = 4096;
    private static final long DEFAULT_OUTCOME_CACHE_BYTES = 16 << 20;

    /** Validates the settings. */
    public EntrySettings {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(keyLifetime, "keyLifetime");
        Objects.requireNonNull(clockUncertainty, "clockUncertainty");
        if (workerThreads < 1 || maxRequests < 1 || outcomeCacheBytes < 0) {
            throw new IllegalArgumentException(
                    "workerThreads and maxRequests must be positive, outcomeCacheBytes must not be negative");
        }
    }

    /** Creates settings with default values. */
    public static EntrySettings of(String instance, String region, String dataCentre) {
        return new EntrySettings(
                instance,
                region,
                dataCentre,
                DEFAULT_KEY_LIFETIME,
                DEFAULT_CLOCK_UNCERTAINTY,
                DEFAULT_WORKER_THREADS,
                DEFAULT_MAX_REQUESTS,
                DEFAULT_OUTCOME_CACHE_BYTES);
    }

    /** Returns a copy with the given lifetime of idempotency keys. */
    public EntrySettings withKeyLifetime(Duration newKeyLifetime) {
        return new EntrySettings(
                instance,
                region,
                dataCentre,
                newKeyLifetime,
                clockUncertainty,
                workerThreads,
                maxRequests,
                outcomeCacheBytes);
    }
}
