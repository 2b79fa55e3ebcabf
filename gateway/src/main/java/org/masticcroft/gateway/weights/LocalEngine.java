package org.masticcroft.gateway.weights;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Client of the engine beside a sidecar. Replies arrive on the event loop; an empty reply means that the call failed.
 */
public interface LocalEngine {
    /** Reads the status of the engine. */
    void readReport(Consumer<Optional<EngineReport>> reply);

    /** Writes a piece to the staging area of the engine, where it replaces the same piece of any other version. */
    void stage(String model, int piece, byte[] data, Consumer<Boolean> reply);

    /** Reads a piece back from the staging area. */
    void readStaged(String model, int piece, Consumer<Optional<byte[]>> reply);

    /**
     * Orders the engine to load the staged weights once its running requests have finished.
     *
     * @param model name of the model
     * @param version version of the staged pieces
     * @param ordersBegun number of orders that the engine has accepted so far; the engine rejects the order if the
     *     number differs
     * @param reply receives the outcome
     */
    void load(String model, long version, long ordersBegun, Consumer<OrderOutcome> reply);

    /** Result of an order. */
    enum OrderOutcome {
        /** The engine has started to execute the order. */
        BEGUN,
        /** The order was already in effect. */
        IN_EFFECT,
        /** The engine rejected the order because it does not match the state of the engine. */
        CONFLICT,
        /** No answer arrived; the engine may have started to execute the order. */
        UNKNOWN
    }
}
