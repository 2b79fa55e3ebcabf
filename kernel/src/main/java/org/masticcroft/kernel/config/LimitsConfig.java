package org.masticcroft.kernel.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;

/**
 * Limits on requests.
 *
 * @param maxBodyBytes maximum size of a request body in bytes
 * @param requestTimeout maximum time for one request, from arrival to the end of the answer
 * @param maxTokens largest {@code max_tokens} that a caller may ask for
 */
public record LimitsConfig(
        @JsonProperty("max_body_bytes") long maxBodyBytes,
        @JsonProperty("request_timeout") Duration requestTimeout,
        @JsonProperty("max_tokens") int maxTokens) {

    private static final long DEFAULT_MAX_BODY_BYTES = 1 << 20;
    private static final Duration DEFAULT_REQUEST_TIMEOUT = Duration.ofSeconds(30);
    private static final int DEFAULT_MAX_TOKENS = 4096;

    public LimitsConfig {
        maxBodyBytes = maxBodyBytes == 0 ? DEFAULT_MAX_BODY_BYTES : maxBodyBytes;
        requestTimeout = requestTimeout == null ? DEFAULT_REQUEST_TIMEOUT : requestTimeout;
        maxTokens = maxTokens == 0 ? DEFAULT_MAX_TOKENS : maxTokens;
    }

    /** Returns the limits that apply if the configuration sets none. */
    public static LimitsConfig defaults() {
        return new LimitsConfig(0, null, 0);
    }
}
