package org.masticcroft.gateway.fleet;

/** A log of records that the processes of the fleet read. */
public enum Directory {
    /** Configuration and named versions of weights, written by the operator. */
    OPERATOR,
    /** List of upstreams, written by the upstreams themselves. */
    UPSTREAMS
}
