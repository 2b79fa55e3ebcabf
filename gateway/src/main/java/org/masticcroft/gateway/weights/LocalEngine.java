package org.masticcroft.gateway.weights;

import java.time.Duration;
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
    void readStaged(String model, int piece, Consumer<StagedRead> reply);

    /**
     * Orders the engine to load the staged weights once its running requests have finished. It takes the pieces as they
     * are when it accepts the order, which may be after the outcome {@link OrderOutcome#UNKNOWN}.
     *
     * @param model name of the model
     * @param version version of the staged pieces
     * @param ordersBegun number of orders that the engine has accepted so far; the engine rejects the order if the
     *     number differs
     * @param reply receives the outcome
     */
    void load(String model, long version, long ordersBegun, Consumer<OrderOutcome> reply);

    /**
     * Orders the engine to give up all layers of the loaded version but some.
     *
     * @param model name of the model
     * @param version version that is loaded
     * @param layers layers to keep
     * @param ordersBegun number of orders that the engine has accepted so far
     * @param reply receives the outcome
     */
    void keepLayers(String model, long version, LayerRange layers, long ordersBegun, Consumer<OrderOutcome> reply);

    /**
     * Returns the age that the read-back of a piece may have when an order is sent. If the order is answered in time,
     * no piece can have been bad for too long when it was accepted.
     */
    Duration maxReadBackAge();

    /** Result of an order. */
    enum OrderOutcome {
        /** The engine has started to execute the order. */
        BEGUN,
        /** The order was already in effect. */
        IN_EFFECT,
        /** The engine rejected the order because it does not match the state of the engine. */
        CONFLICT,
        /** There was no connection, so the engine will not execute the order. */
        NOT_SENT,
        /** No answer arrived; the engine may have started to execute the order, or may do so later. */
        UNKNOWN
    }
}
