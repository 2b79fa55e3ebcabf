package org.masticcroft.gateway.load;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import org.masticcroft.gateway.generated.Datagram;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.metrics.ProcessMetrics;
import org.masticcroft.gateway.metrics.Series;
import org.masticcroft.kernel.event.Event;

/**
 * Counts the datagrams that a process sends, by content. Datagrams share the links between regions with requests, the
 * store and weights, and nothing slows their senders down. Used on the event loop only.
 */
public final class DatagramTraffic {
    /** Interval at which the report is to be written. */
    public static final long INTERVAL_MILLIS = 1000;

    /** Bytes in an interval from which they are logged; a fleet of some hundred processes would send megabytes. */
    private static final long MIN_LOGGED_BYTES = 32_768;

    private final DecisionLog log;
    private final Map<Datagram.ContentCase, Sent> sentByContent = new EnumMap<>(Datagram.ContentCase.class);
    private long reportedBytes;

    private DatagramTraffic(DecisionLog log) {
        this.log = log;
    }

    /**
     * Creates a counter of a process that has not sent any datagram.
     *
     * @param log receives a line for each report of much traffic
     */
    public static DatagramTraffic of(DecisionLog log) {
        DatagramTraffic traffic = new DatagramTraffic(Objects.requireNonNull(log, "log"));
        for (Datagram.ContentCase content : Datagram.ContentCase.values()) {
            traffic.sentByContent.put(content, new Sent());
        }
        return traffic;
    }

    /** Exposes the datagrams and bytes sent since the start of the process. */
    public void expose(ProcessMetrics metrics) {
        sentByContent.forEach((content, sent) -> {
            if (content != Datagram.ContentCase.CONTENT_NOT_SET) {
                String label = label(content);
                metrics.gauge(Series.of("masticcroft_datagrams_sent_total", "content", label), () -> sent.datagrams);
                metrics.gauge(Series.of("masticcroft_datagram_bytes_sent_total", "content", label), () -> sent.bytes);
            }
        });
    }

    /** Records a datagram that is sent. */
    void record(Datagram.ContentCase content, int bytes) {
        Sent sent = sentByContent.get(content);
        sent.datagrams++;
        sent.bytes += bytes;
    }

    /** Returns the datagrams of a content that were sent since the start of the process. */
    public long datagrams(Datagram.ContentCase content) {
        return sentByContent.get(content).datagrams;
    }

    /** Returns the bytes in datagrams of a content that were sent since the start of the process. */
    public long bytes(Datagram.ContentCase content) {
        return sentByContent.get(content).bytes;
    }

    /** Logs what was sent since the last report, if it is much. */
    public void write() {
        long totalBytes =
                sentByContent.values().stream().mapToLong(sent -> sent.bytes).sum();
        if (totalBytes - reportedBytes >= MIN_LOGGED_BYTES) {
            log.write(
                    Event.DATAGRAMS_SENT,
                    "bytes",
                    totalBytes - reportedBytes,
                    "subscription_bytes",
                    sinceReport(Datagram.ContentCase.SUBSCRIPTION),
                    "load_bytes",
                    sinceReport(Datagram.ContentCase.LOAD),
                    "held_bytes",
                    sinceReport(Datagram.ContentCase.HELD),
                    "evidence_bytes",
                    sinceReport(Datagram.ContentCase.EVIDENCE),
                    "ages_bytes",
                    sinceReport(Datagram.ContentCase.AGES));
        }
        reportedBytes = totalBytes;
        sentByContent.values().forEach(sent -> sent.reportedBytes = sent.bytes);
    }

    private long sinceReport(Datagram.ContentCase content) {
        Sent sent = sentByContent.get(content);
        return sent.bytes - sent.reportedBytes;
    }

    private static String label(Datagram.ContentCase content) {
        return content.name().toLowerCase(Locale.ROOT);
    }

    /** What was sent since the start of the process, and the bytes at the last report. */
    private static final class Sent {
        private long datagrams;
        private long bytes;
        private long reportedBytes;
    }
}
