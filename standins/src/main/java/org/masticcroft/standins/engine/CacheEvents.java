package org.masticcroft.standins.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.masticcroft.standins.http.Json;

/** Events of the prefix cache, numbered in sequence. Readers see them after a lag, and some are never published. */
final class CacheEvents {
    private record Event(long sequence, long timeMillis, String kind, String key, boolean lost) {}

    private static final int MAX_EVENTS = 10_000;

    private final Deque<Event> events = new ArrayDeque<>();
    private final long lagMillis;
    private final double lossProbability;
    private final SplittableRandom random;
    private final LongSupplier clockMillis;
    private long nextSequence;

    private CacheEvents(long lagMillis, double lossProbability, long seed, LongSupplier clockMillis) {
        this.lagMillis = lagMillis;
        this.lossProbability = lossProbability;
        this.random = new SplittableRandom(seed);
        this.clockMillis = clockMillis;
    }

    static CacheEvents of(long lagMillis, double lossProbability, long seed, LongSupplier clockMillis) {
        return new CacheEvents(lagMillis, lossProbability, seed, clockMillis);
    }

    synchronized void add(String kind, String key) {
        events.addLast(
                new Event(nextSequence++, clockMillis.getAsLong(), kind, key, random.nextDouble() < lossProbability));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }

    /**
     * Returns the visible events from sequence {@code from} on; lost ones are the numbers missing below {@code next}.
     */
    synchronized ObjectNode read(long from) {
        long newestVisibleMillis = clockMillis.getAsLong() - lagMillis;
        ArrayNode list = Json.array();
        long visibleEnd = nextSequence - events.size();
        for (Event event : events) {
            if (event.timeMillis() > newestVisibleMillis) {
                break;
            }
            visibleEnd = event.sequence() + 1;
            if (event.sequence() >= from && !event.lost()) {
                list.addObject()
                        .put("sequence", event.sequence())
                        .put("time_ms", event.timeMillis())
                        .put("kind", event.kind())
                        .put("key", event.key());
            }
        }
        ObjectNode page = Json.object().put("next", Math.max(from, visibleEnd));
        page.set("events", list);
        return page;
    }
}
