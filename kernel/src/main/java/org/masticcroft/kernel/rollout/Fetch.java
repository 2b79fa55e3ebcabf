package org.masticcroft.kernel.rollout;

import java.util.Objects;

/**
 * A decision to fetch one chunk from one source.
 *
 * @param chunk index of the chunk
 * @param source source of the chunk
 * @param reason short stable identifier of the reason, for the log
 */
public record Fetch(int chunk, Source source, String reason) {
    public Fetch {
        Objects.requireNonNull(source, "source");
        Objects.requireNonNull(reason, "reason");
    }

    /** A source of chunks. */
    public sealed interface Source {
        /** The weight store, or the origin if the store does not respond. */
        record Store() implements Source {}

        /**
         * A peer, that is, another sidecar.
         *
         * @param instance instance id of the peer
         */
        record PeerSource(String instance) implements Source {
            public PeerSource {
                Objects.requireNonNull(instance, "instance");
            }
        }
    }
}
