package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.load.LoadReport;
import org.masticcroft.kernel.breaker.CircuitBreaker;
import org.masticcroft.kernel.breaker.ConsecutiveFailureBreaker;

/** The state of one upstream as this entry knows it. Used on the event loop only. */
public final class Upstream {
    /** Consecutive failures that open the circuit breaker; a single failure may be caused by a request. */
    private static final int BREAKER_FAILURES = 3;

    /** Time for which the circuit breaker stays open; engines are back after some seconds. */
    private static final Duration BREAKER_OPEN_TIME = Duration.ofMillis(1000);

    /** Age from which a load report no longer counts for the load; reports come about every 100 ms. */
    private static final Duration MAX_REPORT_AGE = Duration.ofMillis(1500);

    /** Age up to which a load report shows that the process is alive; reports come at least every 600 ms. */
    private static final Duration MAX_ALIVE_REPORT_AGE = Duration.ofMillis(1000);

    /** Maximum doublings of the pause after a refusal; an engine that loads weights refuses for one to two seconds. */
    private static final int MAX_PAUSE_DOUBLINGS = 3;

    /** Weight of the newest outcome in the smoothed share of failures. */
    private static final double FAILURE_SMOOTHING = 0.15;

    /** Length of the windows in which the slowest first byte is kept; an engine stays slow for seconds. */
    private static final Duration SLOWEST_FIRST_BYTE_WINDOW = Duration.ofSeconds(2);

    private final CircuitBreaker breaker = ConsecutiveFailureBreaker.of(BREAKER_FAILURES, BREAKER_OPEN_TIME);
    private UpstreamListing listing;
    private boolean removed;
    private long removedNanos;
    private boolean saysLeaving;
    private int inFlight;
    private double pendingPromptTokens;
    private long memoryTokens;
    private long promptTokensHeld;
    private long promptTokensAtReport;
    private OptionalLong servedVersion;
    private LoadReport report;
    private long reportNanos;
    private int otherEntriesLoad;
    private int sentSinceReport;
    private int endedSinceReport;
    private double failureShare;
    private OptionalLong lastSuccessNanos = OptionalLong.empty();
    private long lastByteNanos;
    private long lastReceivedNanos;
    private long pausedUntilNanos;
    private long askedPauseEndNanos;
    private int consecutiveRefusals;
    private long coldUntilNanos;
    private String coldCause = "";
    private int statedEntries;
    private long newestStartMillis;
    private OptionalLong restartNanos = OptionalLong.empty();
    private final RecentMaximum slowestFirstByte;
    private final Deque<Long> unansweredSinceNanos = new ArrayDeque<>();

    private Upstream(UpstreamListing listing, long nowNanos) {
        this.listing = listing;
        this.servedVersion = listing.loadedVersion();
        this.lastByteNanos = nowNanos;
        this.lastReceivedNanos = nowNanos;
        this.pausedUntilNanos = nowNanos;
        this.askedPauseEndNanos = nowNanos;
        this.coldUntilNanos = nowNanos;
        this.slowestFirstByte = RecentMaximum.over(SLOWEST_FIRST_BYTE_WINDOW, nowNanos);
    }

    /** Creates the state of a newly listed upstream. */
    public static Upstream of(UpstreamListing listing, long nowNanos) {
        return new Upstream(Objects.requireNonNull(listing, "listing"), nowNanos);
    }

    public UpstreamListing listing() {
        return listing;
    }

    public String id() {
        return listing.id();
    }

    /** Returns the number of requests of this entry that the upstream has not completed. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the estimated number of requests at the upstream, including those of other entries. */
    public int load(long nowNanos) {
        return inFlight + (reportIsFresh(nowNanos) ? otherEntriesLoad : 0);
    }

    /** Returns the number of prompt tokens in the requests of this entry that have no first byte of a response yet. */
    public double pendingPromptTokens() {
        return pendingPromptTokens;
    }

    /**
     * Returns the longest time that a request of this entry recently waited for its first byte here, or has waited so
     * far.
     */
    public Duration longestRecentWait(long nowNanos) {
        Duration slowest = slowestFirstByte.value(nowNanos);
        Duration oldest = unansweredSinceNanos.isEmpty()
                ? Duration.ZERO
                : Duration.ofNanos(nowNanos - unansweredSinceNanos.getFirst());
        return oldest.compareTo(slowest) > 0 ? oldest : slowest;
    }

    /** Returns the smoothed share of requests that failed, from 0 to 1. */
    public double failureShare() {
        return failureShare;
    }

    /** Returns the version of the weights that the upstream serves, if known. */
    public OptionalLong servedVersion() {
        return servedVersion;
    }

    /**
     * Returns whether the upstream loads weights, or has loaded weights that may be unsound, and gets no requests. A
     * report of that counts until the next one, since only the sidecar can end the doubt.
     */
    public boolean loading() {
        return report != null && report.loading();
    }

    /** Returns whether its sidecar last reported that the upstream may have taken unsound weights. */
    public boolean loadInDoubt() {
        return report != null && report.inDoubt();
    }

    /** Returns the factor by which the upstream is slower than its cost model; 1 if no recent report states it. */
    public double pace(long nowNanos) {
        return reportIsFresh(nowNanos) ? report.pace() : 1;
    }

    /** Returns the last stated number of entries that send requests to the upstream; empty if none was stated. */
    public OptionalInt entries() {
        return statedEntries == 0 ? OptionalInt.empty() : OptionalInt.of(statedEntries);
    }

    /** Returns the tokens that the requests of this entry may take in the memory, prompts and largest responses. */
    public long memoryTokens() {
        return memoryTokens;
    }

    /**
     * Returns the tokens that the last report shows beyond the prompts of this entry. The responses of this entry are
     * contained, because it does not know how far they had come.
     *
     * @param capacity tokens that the engine can hold
     */
    double memoryTokensOfOthers(long capacity) {
        return Math.max(0, memoryUsed() * capacity - promptTokensAtReport);
    }

    /** Records that the upstream holds a request of this entry, or holds it no more if the numbers are negative. */
    public void addMemoryTokens(long tokens, long promptTokens) {
        memoryTokens += tokens;
        promptTokensHeld += promptTokens;
    }

    /** Returns the last stated share of the memory for requests that is in use, from 0 to 1; 0 if none was stated. */
    public double memoryUsed() {
        return report == null ? 0 : report.memoryUsed();
    }

    /** Returns the last load report, if it is recent enough to state the load. */
    Optional<LoadReport> freshReport(long nowNanos) {
        return reportIsFresh(nowNanos) ? Optional.of(report) : Optional.empty();
    }

    /** Returns the monotonic time in nanoseconds at which the last load report was received. */
    long reportNanos() {
        return reportNanos;
    }

    /** Returns the number of requests that this entry has sent since the last load report. */
    int sentSinceReport() {
        return sentSinceReport;
    }

    /** Returns the number of requests of this entry that have ended since the last load report. */
    int endedSinceReport() {
        return endedSinceReport;
    }

    /** Returns the pace that the last load report stated, however old it is; 1 if there was none. */
    public double lastReportedPace() {
        return report == null ? 1 : report.pace();
    }

    /** Returns the age of the last load report; empty if there was none. */
    public OptionalLong reportAgeMillis(long nowNanos) {
        return report == null ? OptionalLong.empty() : OptionalLong.of((nowNanos - reportNanos) / 1_000_000);
    }

    /** Returns whether a load report was received within the given time. */
    boolean reportedWithin(Duration age, long nowNanos) {
        return report != null && nowNanos - reportNanos < age.toNanos();
    }

    /** Returns whether a recent load report shows that the process of the upstream is alive. */
    public boolean reportedAlive(long nowNanos) {
        return reportedWithin(MAX_ALIVE_REPORT_AGE, nowNanos);
    }

    /**
     * Returns the time since this entry last received a byte from the upstream, or since it sent a request to the idle
     * upstream.
     */
    public Duration timeSinceLastByte(long nowNanos) {
        return Duration.ofNanos(nowNanos - lastByteNanos);
    }

    /** Returns whether new requests may be sent to the upstream now. */
    public boolean acceptsRequests(long nowNanos) {
        return usable(nowNanos) && nowNanos - pausedUntilNanos >= 0 && nowNanos - askedPauseEndNanos >= 0;
    }

    /** Returns whether the upstream may get requests, now or after the pause that follows a refusal. */
    public boolean usable(long nowNanos) {
        return !left() && breaker.isCallPermitted(nowNanos);
    }

    /** Returns whether the upstream was removed from the list, or is about to exit. */
    boolean left() {
        return removed || saysLeaving || listing.leaving();
    }

    /** Returns whether the upstream is cold, so that it crashes on more requests than its service tolerates then. */
    public boolean cold(long nowNanos) {
        return coldUntilNanos - nowNanos > 0;
    }

    /** Returns the time for which the upstream stays cold, or a negative time since it was cold. */
    Duration coldRemaining(long nowNanos) {
        return Duration.ofNanos(coldUntilNanos - nowNanos);
    }

    /** Returns from what this entry knows that the upstream is cold. */
    String coldCause() {
        return coldCause;
    }

    /**
     * Records that the upstream is cold; the latest end of all statements counts, because the list lags.
     *
     * @param remaining time for which it stays cold; without effect if not positive
     * @param cause from what this entry knows, for the log
     */
    public void recordCold(Duration remaining, String cause, long nowNanos) {
        long endNanos = nowNanos + remaining.toNanos();
        if (endNanos - nowNanos > 0 && endNanos - coldUntilNanos > 0) {
            coldUntilNanos = endNanos;
            coldCause = cause;
        }
    }

    /** Records that its sidecar reports a process that started later than the listed one, with its Unix time. */
    void recordRestart(long startMillis, long nowNanos) {
        if (startMillis > newestStartMillis) {
            newestStartMillis = startMillis;
            restartNanos = OptionalLong.of(nowNanos);
        }
    }

    /** Returns when its sidecar first reported a later process than the listed one; empty if it has not. */
    OptionalLong restartNanos() {
        return restartNanos;
    }

    boolean removed() {
        return removed;
    }

    long removedNanos() {
        return removedNanos;
    }

    void updateListing(UpstreamListing newListing) {
        listing = newListing;
        if (removed) {
            // It has come back since it left.
            saysLeaving = false;
        }
        removed = false;
        if (report == null) {
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
        sentSinceReport = 0;
        endedSinceReport = 0;
        promptTokensAtReport = promptTokensHeld;
        // A sidecar that restarts states no number for a while, in which the earlier one remains valid.
        statedEntries = newReport.entries() > 0 ? newReport.entries() : statedEntries;
        otherEntriesLoad = Math.max(0, newReport.running() + newReport.queued() - inFlight);
        servedVersion = newReport.servedVersion();
    }

    /**
     * Records the version of the weights that a response, or the refusal of a request, states. The upstream gets no
     * requests for a newer version than its sidecar has reported, because the sidecar may not have confirmed it yet.
     */
    public void updateServedVersion(OptionalLong version) {
        if (version.isEmpty() || version.equals(servedVersion)) {
            return;
        }
        if (report == null) {
            servedVersion = version;
        } else if (version.getAsLong() > report.servedVersion().orElse(0)) {
            servedVersion = OptionalLong.empty();
        }
    }

    /**
     * Records that the upstream refused a request because it is another process or serves another version than assumed.
     * A process without a load report is known only from the list, which lags, so its version counts as unknown until
     * it is reported or listed anew.
     */
    public void recordMismatch() {
        if (report == null) {
            servedVersion = OptionalLong.empty();
        }
    }

    /** Records that a request was sent to the upstream. */
    public void recordSend(double promptTokens, long nowNanos) {
        if (inFlight == 0) {
            lastByteNanos = nowNanos;
        }
        breaker.tryAcquire(nowNanos);
        inFlight++;
        sentSinceReport++;
        unansweredSinceNanos.addLast(nowNanos);
        pendingPromptTokens += promptTokens;
    }

    /** Records the first byte of a response to a request that was sent at a monotonic time. */
    public void recordFirstByte(double promptTokens, long sentNanos, long nowNanos) {
        slowestFirstByte.record(Duration.ofNanos(nowNanos - sentNanos), nowNanos);
        recordNoFirstByte(promptTokens, sentNanos);
    }

    /** Records that no first byte is expected any more for a request that was sent at a monotonic time. */
    public void recordNoFirstByte(double promptTokens, long sentNanos) {
        unansweredSinceNanos.removeFirstOccurrence(sentNanos);
        pendingPromptTokens = Math.max(0, pendingPromptTokens - promptTokens);
    }

    /** Records that the upstream accepted a request, which ends a series of refusals. */
    public void recordAcceptance() {
        consecutiveRefusals = 0;
    }

    /** Records that a request of this entry has ended. */
    public void recordEnd() {
        inFlight--;
        endedSinceReport++;
    }

    /** Records that a byte was received from the upstream. */
    public void recordByte(long nowNanos) {
        lastByteNanos = nowNanos;
        lastReceivedNanos = nowNanos;
    }

    /** Returns whether this entry received a byte from the upstream after the given time. */
    public boolean receivedSince(long nanos) {
        return lastReceivedNanos - nanos > 0;
    }

    /** Returns a number for the process of the upstream, the same at all entries. */
    public long process() {
        return ((long) id().hashCode() << Integer.SIZE) ^ listing.startMillis();
    }

    /** Records a response that shows that the upstream works. */
    public void recordSuccess(long nowNanos) {
        breaker.onSuccess(nowNanos);
        lastSuccessNanos = OptionalLong.of(nowNanos);
        recordAcceptance();
        failureShare -= FAILURE_SMOOTHING * failureShare;
    }

    /**
     * Records that a response states that the upstream is about to exit. It gets no new requests, unless it is listed
     * again after its removal from the list.
     *
     * @return whether this is the first such response
     */
    public boolean recordLeaving() {
        boolean first = !saysLeaving;
        saysLeaving = true;
        return first;
    }

    /** Records that the upstream asks for a pause; the latest end of all pauses counts. */
    public void recordPause(long nowNanos, Duration pause) {
        long endNanos = nowNanos + pause.toNanos();
        if (endNanos - askedPauseEndNanos > 0) {
            askedPauseEndNanos = endNanos;
        }
    }

    /** Returns the monotonic time at which the pause ends that the upstream asked for; now if there is none. */
    long askedPauseEndNanos(long nowNanos) {
        return askedPauseEndNanos - nowNanos > 0 ? askedPauseEndNanos : nowNanos;
    }

    /** Records a failure of the upstream itself. */
    public void recordFailure(long nowNanos) {
        breaker.onFailure(nowNanos);
        failureShare += FAILURE_SMOOTHING * (1 - failureShare);
    }

    /**
     * Records that a connection could not be established. If the upstream has served a request since the connection was
     * begun, its accept queue was full for a moment, and it has not failed.
     *
     * @param startNanos monotonic time at which the connection was begun
     * @param nowNanos monotonic time
     * @return whether this counts as a failure of the upstream
     */
    public boolean recordConnectFailure(long startNanos, long nowNanos) {
        if (lastSuccessNanos.isPresent() && lastSuccessNanos.getAsLong() - startNanos > 0) {
            return false;
        }
        recordFailure(nowNanos);
        return true;
    }

    /**
     * Records that the upstream refused a request, and pauses sending to it. The pause doubles with each consecutive
     * refusal, up to a limit, until the upstream accepts a request.
     */
    public void recordRefusal(long nowNanos, Duration pause) {
        pausedUntilNanos = nowNanos + pause.toNanos() * (1L << Math.min(MAX_PAUSE_DOUBLINGS, consecutiveRefusals));
        consecutiveRefusals++;
    }

    private boolean reportIsFresh(long nowNanos) {
        return reportedWithin(MAX_REPORT_AGE, nowNanos);
    }
}
