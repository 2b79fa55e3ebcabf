package org.masticcroft.experiments.trace;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.Objects;

/**
 * One request of a trace.
 *
 * @param atMillis arrival in milliseconds since the start of the trace
 * @param id id of the request, unique in the trace
 * @param customer name of the customer
 * @param rank name of the rank
 * @param prefix number of the prompt prefix; equal numbers share a cached prefix
 * @param promptTokens length of the prompt in tokens
 * @param outputTokens true length of the answer in tokens; hidden from the policies
 * @param maxTokens largest answer that the caller accepts, in tokens
 */
@JsonPropertyOrder({"at_ms", "id", "customer", "rank", "prefix", "prompt", "output", "max"})
public record TraceRequest(
        @JsonProperty("at_ms") long atMillis,
        @JsonProperty("id") String id,
        @JsonProperty("customer") String customer,
        @JsonProperty("rank") String rank,
        @JsonProperty("prefix") int prefix,
        @JsonProperty("prompt") int promptTokens,
        @JsonProperty("output") int outputTokens,
        @JsonProperty("max") int maxTokens) {
    public TraceRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(rank, "rank");
    }

    /** Returns the cost in tokens that an entry estimates before the request runs. */
    public int estimatedTokens() {
        return promptTokens + maxTokens;
    }
}
