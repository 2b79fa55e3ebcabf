package org.masticcroft.entry.http;

/** Names of the HTTP headers that callers send and receive. */
final class Headers {
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    static final String MIN_CONFIG = "X-Masticcroft-Min-Config";
    static final String REQUEST_ID = "X-Masticcroft-Request-Id";
    static final String MODEL = "X-Masticcroft-Model";
    static final String VERSION = "X-Masticcroft-Version";
    static final String WEIGHTS_DIGEST = "X-Masticcroft-Weights-Digest";
    static final String UPSTREAM = "X-Masticcroft-Upstream";
    static final String CONFIG_VERSION = "X-Masticcroft-Config-Version";
    static final String VERDICT = "X-Masticcroft-Verdict";

    /** Milliseconds since the configuration was confirmed; present only while it counts as unconfirmed. */
    static final String CONFIG_UNCONFIRMED_MS = "X-Masticcroft-Config-Unconfirmed-Ms";

    /** Present if the answer was stored for an earlier request with the same idempotency key. */
    static final String REPLAYED = "X-Masticcroft-Replayed";

    private Headers() {}
}
