package org.masticcroft.standins.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.masticcroft.standins.http.Json;

/** Numbered cache events that readers see late and with gaps. */
final class CacheEvents {
    private record Event(long number, long atMillis, String kind, String key, boolean lost) {}

    private static final int BOUND = 10_000;

    private final Deque<Event> events = new ArrayDeque<>();
    private final long lagMillis;
    private final double loss;
    private final SplittableRandom random;
    private final LongSupplier clockMillis;
    private long next;

    private CacheEvents(long lagMillis, double loss, long seed, LongSupplier clockMillis) {
        this.lagMillis = lagMillis;
        this.loss = loss;
        this.random = new SplittableRandom(seed);
        this.clockMillis = clockMillis;
    }

    static CacheEvents of(long lagMillis, double loss, long seed, LongSupplier clockMillis) {
        return new CacheEvents(lagMillis, loss, seed, clockMillis);
    }

    synchronized void add(String kind, String key) {
        events.addLast(new Event(next++, clockMillis.getAsLong(), kind, key, random.nextDouble() < loss));
        if (events.size() > BOUND) {
            events.removeFirst();
        }
    }

    /** Returns the visible events from number {@code from} on; gaps show as missing numbers below {@code next}. */
    synchronized ObjectNode read(long from) {
        long horizon = clockMillis.getAsLong() - lagMillis;
        ArrayNode list = Json.array();
        long visible = next - events.size();
        for (Event event : events) {
            if (event.atMillis() > horizon) {
                break;
            }
            visible = event.number() + 1;
            if (event.number() >= from && !event.lost()) {
                list.addObject()
                        .put("sequence", event.number())
                        .put("time_ms", event.atMillis())
                        .put("kind", event.kind())
                        .put("key", event.key());
            }
        }
        ObjectNode page = Json.object().put("next", Math.max(from, visible));
        page.set("events", list);
        return page;
    }
}
