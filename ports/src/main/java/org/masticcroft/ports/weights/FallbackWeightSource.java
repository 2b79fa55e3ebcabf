package org.masticcroft.ports.weights;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.id.WeightsDigest;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Asks several sources in order, the weight store first and the origin last. A source that failed or answered with
 * wrong bytes is left out for a time that doubles with each further failure.
 */
public final class FallbackWeightSource implements WeightSource {
    /** Back-off after the first failure of a source. */
    static final Duration FIRST_BACK_OFF = Duration.ofMillis(500);
    /** Longest back-off; a source that is back is then used again within this time. */
    static final Duration LONGEST_BACK_OFF = Duration.ofSeconds(15);

    private final List<Entry> entries;
    private final TimeSource time;

    private FallbackWeightSource(List<Entry> entries, TimeSource time) {
        this.entries = entries;
        this.time = time;
    }

    /** Creates a source over {@code sources}, in order of preference. */
    public static FallbackWeightSource of(TimeSource time, List<? extends WeightSource> sources) {
        Objects.requireNonNull(time, "time");
        return new FallbackWeightSource(sources.stream().map(Entry::new).toList(), time);
    }

    @Override
    public Manifest manifest(String model, String version, WeightsDigest expected) {
        return first(source -> source.manifest(model, version, expected));
    }

    @Override
    public byte[] chunk(Manifest manifest, int index) {
        return first(source -> source.chunk(manifest, index));
    }

    private <T> T first(Function<WeightSource, T> question) {
        MasticcroftException last = null;
        for (Entry entry : entries) {
            if (!entry.isUsable(time.nanoTime())) {
                continue;
            }
            try {
                T answer = question.apply(entry.source);
                entry.succeeded();
                return answer;
            } catch (MasticcroftException e) {
                entry.failed(time.nanoTime());
                last = e;
            }
        }
        throw last != null
                ? last
                : MasticcroftException.notRun(ErrorCode.UPSTREAM_FAILED, "all weight sources are backing off");
    }

    /** One source with its back-off. The fields are guarded by the monitor of the entry. */
    private static final class Entry {
        private final WeightSource source;
        private int failures;
        private long usableFromNanos;

        private Entry(WeightSource source) {
            this.source = source;
        }

        private synchronized boolean isUsable(long nowNanos) {
            return failures == 0 || nowNanos - usableFromNanos >= 0;
        }

        private synchronized void succeeded() {
            failures = 0;
        }

        private synchronized void failed(long nowNanos) {
            int doublings = Math.min(failures++, 10);
            long backOff = Math.min(FIRST_BACK_OFF.toNanos() << doublings, LONGEST_BACK_OFF.toNanos());
            usableFromNanos = nowNanos + backOff;
        }
    }
}
