package org.masticcroft.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A request of a caller.
 *
 * @param attemptId id that the caller gave this attempt; empty if it gave none
 * @param method HTTP method
 * @param host host name
 * @param uri path and query
 * @param headers headers that are passed on
 * @param body body, whole
 * @param key key that identifies the caller, if any
 * @param deadline how long the caller waits, if it states that
 * @param generation what the model is asked for, if the request is for one
 * @param resumeAfter number of the last event that the caller has, if it resumes a stream
 *
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

    /** Returns a number that is the same for each send of the same request, whatever its attempt id is. */
    public long fingerprint() {
        return 31L * Objects.hash(method.name(), host, uri, key.orElse("")) + Arrays.hashCode(body);
    }

    /** Returns the path without the query. */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /**
     * What a model is asked for.
     *
     * @param model name of the model
     * @param promptTokens tokens of the prompt
     */
    public record Generation(String model, int promptTokens) {
        public Generation {
            Objects.requireNonNull(model, "model");
        }
    }
}
