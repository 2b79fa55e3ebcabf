package org.masticcroft.gateway.exchange;

import java.util.Locale;

/** What becomes of a hedge. */
public enum HedgeOutcome {
    /** The request was sent to a second upstream. */
    SENT,
    /** The second upstream answered first. */
    WON,
    /** The first upstream answered first. */
    LOST,
    /** The second upstream failed or refused the request before either answered. */
    FAILED,
    /** The first upstream failed or refused the request before either answered, and the hedge goes on alone. */
    FIRST_FAILED,
    /** A hedge was due, but the budget for hedges or for retries is spent. */
    REFUSED_BY_BUDGET;

    /** Returns the name of the outcome in metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
