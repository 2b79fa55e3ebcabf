package org.masticcroft.standins.log;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Base64;
import java.util.Map;
import java.util.NavigableMap;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.masticcroft.standins.http.Json;

/** Streams of records with offsets from 0, limited retention and one append rate for all streams together. */
public final class LogStreams {
    private record Entry(long offset, long timeMillis, byte[] data) {}

    private static final class Stream {
        private final NavigableMap<Long, Entry> entries = new TreeMap<>();
        private long nextOffset;
        private long appends;
    }

    private final Map<String, Stream> streams = new TreeMap<>();
    private final long appendsPerSecond;
    private final long retentionMillis;
    private final LongSupplier clockMillis;
    private double appendTokens;
    private long refilledAtMillis;
    private long peakAppendsPerSecond;
    private long secondStartMillis;
    private long appendsInSecond;

    private LogStreams(long appendsPerSecond, Duration retention, LongSupplier clockMillis) {
        this.appendsPerSecond = appendsPerSecond;
        this.retentionMillis = retention.toMillis();
        this.clockMillis = clockMillis;
        this.appendTokens = appendsPerSecond;
        this.refilledAtMillis = clockMillis.getAsLong();
    }

    /** Creates an empty log whose rate limit allows a burst of one second of appends. */
    public static LogStreams of(long appendsPerSecond, Duration retention, LongSupplier clockMillis) {
        return new LogStreams(appendsPerSecond, retention, clockMillis);
    }

    /** Appends a record and returns its offset, or nothing if the rate limit refuses it. */
    public synchronized OptionalLong append(String name, byte[] data) {
        long now = clockMillis.getAsLong();
        refillTokens(now);
        if (appendTokens < 1) {
            return OptionalLong.empty();
        }
        appendTokens--;
        countAppend(now);
        Stream stream = streams.computeIfAbsent(name, key -> new Stream());
        long offset = stream.nextOffset++;
        stream.appends++;
        stream.entries.put(offset, new Entry(offset, now, data));
        expire(stream, now);
        notifyAll();
        return OptionalLong.of(offset);
    }

    /** Waits until the stream has a record at {@code from} or later, at most {@code waitMillis}. */
    public synchronized void await(String name, long from, long waitMillis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        while (nextOffset(name) <= from) {
            long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            if (remainingMillis <= 0) {
                return;
            }
            wait(remainingMillis);
        }
    }

    /** Returns at most {@code max} retained records from offset {@code from} on, as a page of the log protocol. */
    public synchronized ObjectNode read(String name, long from, long max) {
        Stream stream = streams.getOrDefault(name, new Stream());
        expire(stream, clockMillis.getAsLong());
        ObjectNode page = Json.object();
        long earliest = stream.entries.isEmpty() ? stream.nextOffset : stream.entries.firstKey();
        page.put("earliest", earliest);
        ArrayNode records = Json.array();
        long next = Math.min(Math.max(from, earliest), stream.nextOffset);
        for (Entry entry : stream.entries.tailMap(from, true).values()) {
            if (records.size() >= max) {
                break;
            }
            records.addObject()
                    .put("offset", entry.offset())
                    .put("time_ms", entry.timeMillis())
                    .put("data", Base64.getEncoder().encodeToString(entry.data()));
            next = entry.offset() + 1;
        }
        page.put("next", next);
        page.set("records", records);
        return page;
    }

    /** Returns the number of appended and retained records by stream, and the peak rate. */
    public synchronized ObjectNode stats() {
        ObjectNode stats = Json.object();
        ObjectNode appends = stats.putObject("appends");
        ObjectNode retained = stats.putObject("retained");
        long total = 0;
        for (Map.Entry<String, Stream> stream : streams.entrySet()) {
            appends.put(stream.getKey(), stream.getValue().appends);
            retained.put(stream.getKey(), stream.getValue().entries.size());
            total += stream.getValue().appends;
        }
        return stats.put("appends_total", total)
                .put("peak_appends_per_second", Math.max(peakAppendsPerSecond, appendsInSecond))
                .put("limit_appends_per_second", appendsPerSecond);
    }

    private long nextOffset(String name) {
        Stream stream = streams.get(name);
        return stream == null ? 0 : stream.nextOffset;
    }

    private void refillTokens(long now) {
        double refilled = (now - refilledAtMillis) * appendsPerSecond / 1000.0;
        appendTokens = Math.min(appendsPerSecond, appendTokens + refilled);
        refilledAtMillis = now;
    }

    private void countAppend(long now) {
        if (now - secondStartMillis >= 1000) {
            peakAppendsPerSecond = Math.max(peakAppendsPerSecond, appendsInSecond);
            secondStartMillis = now;
            appendsInSecond = 0;
        }
        appendsInSecond++;
    }

    private void expire(Stream stream, long now) {
        while (!stream.entries.isEmpty()
                && stream.entries.firstEntry().getValue().timeMillis() < now - retentionMillis) {
            stream.entries.pollFirstEntry();
        }
    }
}
