package org.masticcroft.gateway.fleet;

/** The logs that every process follows. */
public enum Directory {
    /** Configuration and named weights, written by the operator. */
    OPERATOR,
    /** The list of upstreams, written by the upstreams. */
    UPSTREAMS
}
