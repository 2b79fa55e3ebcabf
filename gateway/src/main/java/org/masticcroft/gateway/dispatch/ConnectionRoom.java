package org.masticcroft.gateway.dispatch;

import java.util.Objects;
import java.util.function.BooleanSupplier;

/**
 * Keeps requests waiting while the process has no connection to spare for an upstream. Without the rule, callers with
 * many open requests use up the descriptors of the process.
 */
public final class ConnectionRoom implements PlacementRule {
    private final BooleanSupplier hasRoom;

    private ConnectionRoom(BooleanSupplier hasRoom) {
        this.hasRoom = hasRoom;
    }

    /**
     * Creates a rule.
     *
     * @param hasRoom whether a further connection may be opened
     */
    public static ConnectionRoom of(BooleanSupplier hasRoom) {
        return new ConnectionRoom(Objects.requireNonNull(hasRoom, "hasRoom"));
    }

    @Override
    public PlacementDecision check(QueuedRequest request, Upstream upstream, long nowNanos) {
        return hasRoom.getAsBoolean() ? PlacementDecision.ALLOWED : PlacementDecision.CONNECTIONS_USED;
    }
}
