package org.masticcroft.cli.fleet;

import java.util.Optional;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.wire.generated.StatusReply;

/**
 * A listed instance and what it says about itself.
 *
 * @param instance the instance as listed
 * @param reply its status; empty if it did not answer
 */
public record InstanceStatus(Instance instance, Optional<StatusReply> reply) {
    /** Returns whether the list says that the instance is live. */
    public boolean isLive() {
        return instance.state() == Instance.State.LIVE;
    }

    /** Returns whether the instance reports {@code version} or a higher one. */
    public boolean hasVersion(long version) {
        return reply.map(status -> status.getConfigVersion() >= version).orElse(false);
    }
}
