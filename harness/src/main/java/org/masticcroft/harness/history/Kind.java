package org.masticcroft.harness.history;

/** Kind of a request. */
public enum Kind {
    /** A chat completion. */
    CHAT,
    /** An idempotent call of a plain service. */
    READ,
    /** A non-idempotent call of a plain service, with an idempotency key. */
    ORDER
}
