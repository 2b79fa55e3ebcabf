package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalLong;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.load.LoadReport;
import org.masticcroft.kernel.breaker.CircuitBreaker;
import org.masticcroft.kernel.breaker.ConsecutiveFailureBreaker;

/** What this entry knows of one upstream. Used on the event loop only. */
public final class Upstream {
    /** Consecutive failures after which an upstream is avoided; one may be the fault of a request. */
    private static final int FAILURES_TO_AVOID = 3;

    /** Time for which an upstream is avoided after it failed; engines are back after some seconds. */
    private static final Duration AVOID_TIME = Duration.ofMillis(1000);

    /** Age after which a load report is no longer used; reports come about every 100 ms. */
    private static final Duration REPORT_LIFETIME = Duration.ofMillis(1500);

    /** Age up to which a load report shows that the upstream lives; reports come at least every 600 ms. */
    private static final Duration ALIVE_AGE = Duration.ofMillis(1000);

    /** Doublings of the pause after refusals; an engine that loads refuses for one to two seconds. */
    private static final int MAX_DOUBLINGS = 3;

    /** Weight of the newest outcome in the share of failures. */
    private static final double FAILURE_WEIGHT = 0.15;

    private final CircuitBreaker breaker = ConsecutiveFailureBreaker.of(FAILURES_TO_AVOID, AVOID_TIME);
    private UpstreamListing listing;
    private boolean removed;
    private long removedNanos;
    private int inFlight;
    private double unreadTokens;
    private OptionalLong servedVersion;
    private LoadReport report;
    private long reportNanos;
    private int others;
    private double failureShare;
    private long lastByteNanos;
    private long fullUntilNanos;
    private int refusals;

    private Upstream(UpstreamListing listing, long nowNanos) {
        this.listing = listing;
        this.servedVersion = listing.loadedVersion();
        this.lastByteNanos = nowNanos;
        this.fullUntilNanos = nowNanos;
    }

    /** Creates the state of an upstream that was just listed. */
    public static Upstream of(UpstreamListing listing, long nowNanos) {
        return new Upstream(Objects.requireNonNull(listing, "listing"), nowNanos);
    }

    public UpstreamListing listing() {
        return listing;
    }

    public String id() {
        return listing.id();
    }

    /** Returns the requests of this entry that the upstream has not answered in full. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the estimated number of requests at the upstream, those of other entries included. */
    public int load(long nowNanos) {
        return inFlight + (reportIsFresh(nowNanos) ? others : 0);
    }

    /** Returns the prompt tokens that this entry sent and that were not answered with a first byte yet. */
    public double unreadTokens() {
        return unreadTokens;
    }

    /** Returns the share of recent requests that failed, from 0 to 1. */
    public double failureShare() {
        return failureShare;
    }

    /** Returns the version of the weights that the upstream serves, as far as known. */
    public OptionalLong servedVersion() {
        return servedVersion;
    }

    /** Returns whether the upstream loads weights and accepts nothing new. */
    public boolean loading(long nowNanos) {
        return reportIsFresh(nowNanos) && report.loading();
    }

    /** Returns the age of the last load report; empty if there was none. */
    public OptionalLong reportAgeMillis(long nowNanos) {
        return report == null ? OptionalLong.empty() : OptionalLong.of((nowNanos - reportNanos) / 1_000_000);
    }

    /** Returns whether a report shows that the upstream's process lived a moment ago. */
    public boolean seenAlive(long nowNanos) {
        return report != null && nowNanos - reportNanos < ALIVE_AGE.toNanos();
    }

    /** Returns the time since the upstream last sent a byte to this entry. */
    public Duration silence(long nowNanos) {
        return Duration.ofNanos(nowNanos - lastByteNanos);
    }

    /** Returns whether new requests may go to the upstream. */
    public boolean acceptsRequests(long nowNanos) {
        return usable(nowNanos) && nowNanos - fullUntilNanos >= 0;
    }

    /** Returns whether the upstream may take requests, now or after the pause that follows a refusal. */
    public boolean usable(long nowNanos) {
        return !removed && !listing.leaving() && breaker.isCallPermitted(nowNanos);
    }

    boolean removed() {
        return removed;
    }

    long removedNanos() {
        return removedNanos;
    }

    void updateListing(UpstreamListing newListing) {
        listing = newListing;
        removed = false;
        if (newListing.loadedVersion().isPresent() || report == null) {
            servedVersion = newListing.loadedVersion();
        }
    }

    void remove(long nowNanos) {
        removed = true;
        removedNanos = nowNanos;
    }

    void applyReport(LoadReport newReport, long nowNanos) {
        report = newReport;
        reportNanos = nowNanos;
        others = Math.max(0, newReport.running() + newReport.queued() - inFlight);
        servedVersion = newReport.servedVersion();
    }

    /** Records the version that an answer names or a refusal disproves. */
    public void served(OptionalLong version) {
        if (version.isPresent()) {
            servedVersion = version;
        }
    }

    /** Records that a request was sent. */
    public void started(double promptTokens, long nowNanos) {
        if (inFlight == 0) {
            lastByteNanos = nowNanos;
        }
        breaker.tryAcquire(nowNanos);
        inFlight++;
        unreadTokens += promptTokens;
    }

    /** Records that a request was answered with a first byte, or that none is expected any more. */
    public void firstByte(double promptTokens) {
        unreadTokens = Math.max(0, unreadTokens - promptTokens);
    }

    /** Records that the upstream took a request, so that it has room again. */
    public void took() {
        refusals = 0;
    }

    /** Records that a request no longer runs for this entry. */
    public void ended() {
        inFlight--;
    }

    /** Records that the upstream sent something. */
    public void heard(long nowNanos) {
        lastByteNanos = nowNanos;
    }

    /** Records an answer that shows the upstream to work. */
    public void succeeded(long nowNanos) {
        breaker.onSuccess(nowNanos);
        took();

        failureShare -= FAILURE_WEIGHT * failureShare;
    }

    /** Records a failure of the upstream itself. */
    public void failed(long nowNanos) {
        breaker.onFailure(nowNanos);
        failureShare += FAILURE_WEIGHT * (1 - failureShare);
    }

    /**
     * Records that the upstream refused a request, and avoids it for a short time, which doubles with each further
     * refusal until it takes a request.
     */
    public void refused(long nowNanos, Duration pause) {
        fullUntilNanos = nowNanos + pause.toNanos() * (1L << Math.min(MAX_DOUBLINGS, refusals));
        refusals++;
    }

    private boolean reportIsFresh(long nowNanos) {
        return report != null && nowNanos - reportNanos < REPORT_LIFETIME.toNanos();
    }
}
