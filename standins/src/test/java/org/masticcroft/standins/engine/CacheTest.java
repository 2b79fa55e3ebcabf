package org.masticcroft.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class CacheTest {
    private static final String PROMPT = "x".repeat(PrefixCache.BLOCK_CHARACTERS * 3);

    private final AtomicLong clock = new AtomicLong();
    private final CacheEvents events = CacheEvents.of(500, 0.0, 1, clock::get);
    private final PrefixCache cache = PrefixCache.of(4, events);

    /** Guards against a cached prefix of one set of weights speeding up requests to another. */
    @Test
    void prefixesOfOtherWeightsDoNotMatch() {
        List<String> keys = PrefixCache.keys("sha256:a", PROMPT);
        assertThat(cache.lookUpAndStore(keys)).isZero();
        assertThat(cache.lookUpAndStore(keys)).isEqualTo(3);
        assertThat(cache.lookUpAndStore(PrefixCache.keys("sha256:b", PROMPT))).isZero();
    }

    /** Guards against an unbounded cache, which would overstate the benefit of routing by cache affinity. */
    @Test
    void evictsTheLeastRecentlyUsedBlock() {
        List<String> first = PrefixCache.keys("sha256:a", PROMPT);
        cache.lookUpAndStore(first);
        cache.lookUpAndStore(PrefixCache.keys("sha256:b", PROMPT));
        assertThat(cache.contains(first.get(0))).isFalse();
        assertThat(cache.contains(first.get(2))).isTrue();
    }

    /** Guards against events that are visible without lag, and against sequence numbers that hide lost events. */
    @Test
    void eventsAppearAfterTheLagAndLostOnesAsGaps() {
        CacheEvents lossy = CacheEvents.of(500, 1.0, 1, clock::get);
        lossy.add("stored", "k");
        events.add("stored", "k");
        assertThat(events.read(0).path("events")).isEmpty();
        clock.set(500);
        assertThat(events.read(0).path("events")).hasSize(1);
        assertThat(lossy.read(0).path("events")).isEmpty();
        assertThat(lossy.read(0).path("next").asInt()).isEqualTo(1);
    }

    /** Guards against importing a corrupt KV block. */
    @Test
    void importsOnlyTheContentOfTheKey() {
        assertThat(cache.put("k", new byte[10])).isFalse();
        assertThat(cache.put("k", PrefixCache.content("k"))).isTrue();
        assertThat(cache.contains("k")).isTrue();
    }
}
