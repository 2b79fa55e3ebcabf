package org.masticcroft.kernel.rollout;

import java.util.Optional;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;

/** Baseline policy: every sidecar fetches every chunk from the weight store, in order. */
public final class StoreOnlyPlanner implements FetchPlanner {
    /** Creates the plug-in; used by the service loader. */
    public StoreOnlyPlanner() {}

    @Override
    public String name() {
        return "store-only";
    }

    @Override
    public Optional<Fetch> next(FetchView view, UniformRandomProvider random) {
        return IntStream.range(0, view.chunkCount())
                .filter(chunk -> !view.held().get(chunk) && !view.inProgress().contains(chunk))
                .mapToObj(chunk -> new Fetch(chunk, new Fetch.Source.Store(), name()))
                .findFirst();
    }
}
