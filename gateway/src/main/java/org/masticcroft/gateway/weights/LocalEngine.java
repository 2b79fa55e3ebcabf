package org.masticcroft.gateway.weights;

import java.util.Optional;
import java.util.function.Consumer;

/** The engine beside a sidecar. Replies arrive on the event loop; an empty one states that the call failed. */
public interface LocalEngine {
    /** Reads what the engine says of itself. */
    void readReport(Consumer<Optional<EngineReport>> reply);

    /** Stages a piece; it replaces the staged piece of any other version. */
    void stage(String model, int piece, byte[] data, Consumer<Boolean> reply);

    /** Reads a staged piece. */
    void readStaged(String model, int piece, Consumer<Optional<byte[]>> reply);

    /**
     * Orders the engine to load the staged weights after the requests that run.
     *
     * @param model name of the model
     * @param version version that the staged pieces have
     * @param ordersBegun number of orders that the engine has accepted so far; it refuses another number
     * @param reply receives the outcome
     */
    void load(String model, long version, long ordersBegun, Consumer<OrderOutcome> reply);

    /** Outcome of an order. */
    enum OrderOutcome {
        /** The order has begun. */
        BEGUN,
        /** The order was in effect already. */
        IN_EFFECT,
        /** The order does not fit the state of the engine. */
        CONFLICT,
        /** No answer arrived; the order may have begun. */
        UNKNOWN
    }
}
