package org.masticcroft.entry.order;

import com.google.common.base.Ticker;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.time.Duration;
import java.util.Optional;
import org.masticcroft.kernel.time.TimeSource;

/** Memory-bounded cache of the answers of executed orders, for callers that send an order again. Thread-safe. */
public final class OutcomeCache {
    private static final int ENTRY_OVERHEAD_BYTES = 200;

    private final Cache<String, StoredAnswer> answers;

    private OutcomeCache(Cache<String, StoredAnswer> answers) {
        this.answers = answers;
    }

    /**
     * Creates an empty cache.
     *
     * @param maxBytes approximate memory limit in bytes; the least recently used answers are evicted
     * @param lifetime maximum time for which an answer is kept
     * @param time clock
     */
    public static OutcomeCache of(long maxBytes, Duration lifetime, TimeSource time) {
        return new OutcomeCache(CacheBuilder.newBuilder()
                .concurrencyLevel(1)
                .maximumWeight(maxBytes)
                .weigher((String key, StoredAnswer answer) -> answer.body().length + ENTRY_OVERHEAD_BYTES)
                .expireAfterWrite(lifetime)
                .ticker(new Ticker() {
                    @Override
                    public long read() {
                        return time.nanoTime();
                    }
                })
                .build());
    }

    /** Stores the answer under the digest of customer and key. */
    public void put(String keyDigest, StoredAnswer answer) {
        answers.put(keyDigest, answer);
    }

    /** Returns the answer of an order if it is still cached. */
    public Optional<StoredAnswer> find(String keyDigest) {
        return Optional.ofNullable(answers.getIfPresent(keyDigest));
    }
}
