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
 * Tries several sources in order, the weight store first and the origin last. A source that failed or returned corrupt
 * data is skipped for a back-off that doubles with each consecutive failure.
 */
public final class FallbackWeightSource implements WeightSource {
    /** Back-off after the first failure of a source. */
    static final Duration INITIAL_BACK_OFF = Duration.ofMillis(500);
    /** Upper bound of the back-off, and so of the delay until a source that has recovered is used again. */
    static final Duration MAX_BACK_OFF = Duration.ofSeconds(15);

    private final List<BackedOffSource> sources;
    private final TimeSource time;

    private FallbackWeightSource(List<BackedOffSource> sources, TimeSource time) {
        this.sources = sources;
        this.time = time;
    }

    /** Creates a source over {@code sources}, in order of preference. */
    public static FallbackWeightSource of(TimeSource time, List<? extends WeightSource> sources) {
        Objects.requireNonNull(time, "time");
        return new FallbackWeightSource(
                sources.stream().map(BackedOffSource::new).toList(), time);
    }

    @Override
    public Manifest manifest(String model, String version, WeightsDigest expected) {
        return firstAvailable(source -> source.manifest(model, version, expected));
    }

    @Override
    public byte[] chunk(Manifest manifest, int index) {
        return firstAvailable(source -> source.chunk(manifest, index));
    }

    private <T> T firstAvailable(Function<WeightSource, T> request) {
        MasticcroftException lastFailure = null;
        for (BackedOffSource candidate : sources) {
            if (!candidate.isUsable(time.nanoTime())) {
                continue;
            }
            try {
                T result = request.apply(candidate.source);
                candidate.succeeded();
                return result;
            } catch (MasticcroftException e) {
                candidate.failed(time.nanoTime());
                lastFailure = e;
            }
        }
        throw lastFailure != null
                ? lastFailure
                : MasticcroftException.notRun(ErrorCode.UPSTREAM_FAILED, "all weight sources are backing off");
    }

    /** A source and its back-off. The fields are guarded by the monitor of this object. */
    private static final class BackedOffSource {
        private final WeightSource source;
        private int failures;
        private long backOffEndNanos;

        private BackedOffSource(WeightSource source) {
            this.source = source;
        }

        private synchronized boolean isUsable(long nowNanos) {
            return failures == 0 || nowNanos - backOffEndNanos >= 0;
        }

        private synchronized void succeeded() {
            failures = 0;
        }

        private synchronized void failed(long nowNanos) {
            int doublings = Math.min(failures++, 10);
            long backOff = Math.min(INITIAL_BACK_OFF.toNanos() << doublings, MAX_BACK_OFF.toNanos());
            backOffEndNanos = nowNanos + backOff;
        }
    }
}
