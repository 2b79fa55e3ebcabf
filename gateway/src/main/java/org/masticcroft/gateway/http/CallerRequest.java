package org.masticcroft.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A request of a caller.
 *
 * @param attemptId id that the caller assigned to this attempt; empty if there is none
 * @param method HTTP method
 * @param host host name
 * @param uri path and query
 * @param headers all headers of the request
 * @param body complete body
 * @param key key that identifies the caller, if any
 * @param deadline how long the caller waits for the response, if it set a deadline
 * @param generation model and prompt, if the request is for a model
 * @param resumeAfter id of the last event that the caller received, if it resumes a stream
 */
public record CallerRequest(
        String attemptId,
        HttpMethod method,
        String host,
        String uri,
        HttpHeaders headers,
        byte[] body,
        Optional<String> key,
        Optional<Duration> deadline,
        Optional<Generation> generation,
        OptionalLong resumeAfter) {
    public CallerRequest {
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(uri, "uri");
    }

    /** Returns a hash of the request that is the same for every attempt, because it excludes the attempt id. */
    public long fingerprint() {
        return 31L * Objects.hash(method.name(), host, uri, key.orElse("")) + Arrays.hashCode(body);
    }

    /** Returns the ids of the parts of the prompt that other requests may share; empty without a prompt. */
    public List<Long> sharedParts() {
        return generation.map(Generation::sharedParts).orElse(List.of());
    }

    /** Returns the path without the query. */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /**
     * Model and prompt of a generation request.
     *
     * @param model name of the model
     * @param promptTokens number of tokens of the prompt
     * @param maxOutputTokens maximum number of tokens of the response; 0 if unknown
     * @param sharedParts ids of the parts of the prompt that other requests may share, in order
     */
    public record Generation(String model, int promptTokens, int maxOutputTokens, List<Long> sharedParts) {
        /**
         * Tokens of a response whose maximum is unknown. An engine generates about a hundred tokens a second for a
         * request, and requests run for less than 15 seconds.
         */
        private static final int UNSTATED_OUTPUT_TOKENS = 2048;

        public Generation {
            Objects.requireNonNull(model, "model");
            sharedParts = List.copyOf(sharedParts);
        }

        /** Returns the largest number of tokens that an engine holds for the request. */
        public int memoryTokens() {
            return promptTokens + (maxOutputTokens > 0 ? maxOutputTokens : UNSTATED_OUTPUT_TOKENS);
        }
    }
}
