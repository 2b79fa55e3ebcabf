package org.masticcroft.entry;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of the entry role.
 *
 * @param instance instance id
 * @param region region of the instance
 * @param dataCentre data centre of the instance
 * @param keyLifetime lifetime of idempotency keys; a quarter of the log's retention time
 * @param clockUncertainty stated uncertainty of the wall clock in audit records
 * @param workerThreads threads that run requests and write answers
 * @param maxRequests largest number of requests in progress; further ones are refused
 * @param outcomeCacheBytes memory for stored answers of orders, in bytes
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

    /** Checks the limits. */
    public EntrySettings {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(keyLifetime, "keyLifetime");
        Objects.requireNonNull(clockUncertainty, "clockUncertainty");
        if (workerThreads < 1 || maxRequests < 1 || outcomeCacheBytes < 0) {
            throw new IllegalArgumentException("workerThreads and maxRequests must be positive");
        }
    }

    /** Creates settings with the default limits. */
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

    /** Returns a copy with another lifetime of idempotency keys. */
    public EntrySettings withKeyLifetime(Duration lifetime) {
        return new EntrySettings(
                instance,
                region,
                dataCentre,
                lifetime,
                clockUncertainty,
                workerThreads,
                maxRequests,
                outcomeCacheBytes);
    }
}
