package org.masticcroft.standins.platform;

import java.time.Duration;

/** Is told what an engine does; the engine's state does not change during the calls for loads and tokens. */
public interface EngineListener {
    /** Returns a listener that ignores everything. */
    static EngineListener none() {
        return new EngineListener() {
            @Override
            public void orderArrived() {}

            @Override
            public void loadBegun(long version, Duration waited) {}

            @Override
            public void tokenMade(String attemptId, long version) {}
        };
    }

    /** Called when an order has arrived, which the engine may handle late. */
    void orderArrived();

    /**
     * Called when the engine has accepted an order and taken its layers.
     *
     * @param version version of the weights
     * @param waited time from the arrival of the order to its acceptance
     */
    void loadBegun(long version, Duration waited);

    /**
     * Called when a request makes a token.
     *
     * @param attemptId id of the caller's attempt
     * @param version version of the weights that made the token
     */
    void tokenMade(String attemptId, long version);
}
