package org.masticcroft.kernel.rollout;

import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticcroft.kernel.plugin.Plugin;

/** Decides which chunk a sidecar fetches next and from which source. Implementations are stateless. */
public interface FetchPlanner extends Plugin {
    /** Returns the next fetch, or empty if no fetch should start now. */
    Optional<Fetch> next(FetchView view, UniformRandomProvider random);
}
