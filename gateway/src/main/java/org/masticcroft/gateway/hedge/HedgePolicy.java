package org.masticcroft.gateway.hedge;

import java.time.Duration;
import java.util.Optional;
import org.masticcroft.kernel.time.TimeSource;

/** Decides when a request is hedged, that is, sent to a second upstream while the first one has not responded. */
public interface HedgePolicy {
    /** Records the arrival of a request for a service, from which the budget of the service is computed. */
    void recordRequest(String service);

    /** Records the time from the sending of a request to the first byte of its response. */
    void recordTimeToFirstByte(HedgeKey key, Duration timeToFirstByte);

    /** Returns the time after the sending of a request at which it may be hedged; empty if it must not be. */
    Optional<Duration> delay(HedgeKey key);

    /**
     * Returns whether a hedge is likely to win and leaves the caller enough time.
     *
     * @param key route and service of the request
     * @param age time since the first attempt was sent
     * @param predicted predicted time to the first byte at the second upstream
     * @param remaining time within which the first byte of the response is of use
     */
    boolean worthwhile(HedgeKey key, Duration age, Duration predicted, Duration remaining);

    /** Returns whether the budget of a service permits a hedge. */
    boolean available(String service);

    /** Takes a hedge from the budget of a service; returns false if the budget is spent. */
    boolean tryAcquire(String service);

    /**
     * Creates a policy.
     *
     * @param share largest ratio of hedges to requests of a service in a window; 0 disables hedging
     * @param window length of the window
     * @param time clock
     */
    static HedgePolicy of(double share, Duration window, TimeSource time) {
        return share > 0 ? new QuantileHedgePolicy(HedgeBudget.of(share, window, time), time) : new NoHedging();
    }
}
