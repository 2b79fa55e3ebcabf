package org.masticcroft.cli.fleet;

import java.util.Optional;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.wire.generated.StatusReply;

/**
 * A listed instance and the status that it reported.
 *
 * @param instance the instance as listed
 * @param reply the reported status; empty if it did not answer
 */
public record InstanceStatus(Instance instance, Optional<StatusReply> reply) {
    /** Returns whether the instance list has the instance as live. */
    public boolean isLive() {
        return instance.state() == Instance.State.LIVE;
    }

    /** Returns whether the instance reports {@code version} or a higher one. */
    public boolean hasVersion(long version) {
        return reply.map(status -> status.getConfigVersion() >= version).orElse(false);
    }
}
