package org.masticcroft.gateway.http;

/** States whether a response belongs to the request that a connection carries. */
public enum ResponseMatch {
    /** The response names the request, or the protocol of the call has no ids. */
    OWN,
    /** The response names no request, so it may be the response to any request that the connection has carried. */
    UNIDENTIFIED,
    /** The response names another request. */
    OTHER
}
