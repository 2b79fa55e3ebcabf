package org.masticcroft.gateway.dispatch;

/** Whether a request may be sent to an upstream, apart from the load of the upstream. */
public enum PlacementDecision {
    /** The request may be sent. */
    ALLOWED(false),
    /** The route or the customer of the request excludes the region of the upstream. */
    OUTSIDE_ALLOWED_REGIONS(true),
    /** The operator has evacuated the data centre of the upstream. */
    DATA_CENTRE_EVACUATED(true),
    /** The upstream is cold and has received as many requests as it tolerates for now. */
    COLD_RATE_REACHED(false),
    /** The data centre of the upstream returns from an evacuation and is filled gradually. */
    REFILL_RATE_REACHED(false),
    /** The requests at the upstream leave too little of its memory. */
    MEMORY_FULL(false),
    /** This entry has used its share of the free slots of the upstream until the next load report. */
    SLOT_SHARE_USED(false),
    /** The process has used up its connections to upstreams. */
    CONNECTIONS_USED(false);

    private final boolean lasting;

    PlacementDecision(boolean lasting) {
        this.lasting = lasting;
    }

    /** Returns whether waiting does not change the decision, so that a request must not wait for the upstream. */
    public boolean lasting() {
        return lasting;
    }
}
