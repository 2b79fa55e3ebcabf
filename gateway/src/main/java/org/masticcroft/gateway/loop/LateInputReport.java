package org.masticcroft.gateway.loop;

import java.time.Duration;
import java.util.Objects;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.metrics.ProcessMetrics;
import org.masticcroft.gateway.metrics.Series;
import org.masticcroft.kernel.event.Event;

/** Reports the longest wait of an input as a metric, and in the log if the event loop was late. */
public final class LateInputReport {
    /** Interval at which the report is to be written. */
    public static final long INTERVAL_MILLIS = 1000;

    /** Wait from which it is logged; a response that is aimed at in some hundred milliseconds suffers from it. */
    private static final Duration MIN_LOGGED_WAIT = Duration.ofMillis(100);

    private final InputTimes inputs;
    private final DecisionLog log;
    private Duration lastLongestWait = Duration.ZERO;

    private LateInputReport(InputTimes inputs, DecisionLog log) {
        this.inputs = Objects.requireNonNull(inputs, "inputs");
        this.log = Objects.requireNonNull(log, "log");
    }

    /**
     * Creates a report that has not been written yet.
     *
     * @param inputs times of the event loop
     * @param log receives a line for each report of a late loop
     */
    public static LateInputReport of(InputTimes inputs, DecisionLog log) {
        return new LateInputReport(inputs, log);
    }

    /** Exposes the longest wait between the last two reports. */
    public void expose(ProcessMetrics metrics) {
        metrics.gauge(Series.of("masticcroft_input_wait_max_ms"), lastLongestWait::toMillis);
    }

    /** Reports the longest wait since the last report. */
    public void write() {
        lastLongestWait = inputs.takeLongestWait();
        if (lastLongestWait.compareTo(MIN_LOGGED_WAIT) >= 0) {
            log.write(Event.INPUT_LATE, "longest_wait_ms", lastLongestWait.toMillis());
        }
    }
}
