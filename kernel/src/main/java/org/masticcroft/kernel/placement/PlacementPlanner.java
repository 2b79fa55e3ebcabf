package org.masticcroft.kernel.placement;

import java.util.List;
import org.masticcroft.kernel.plugin.Plugin;

/** Plans how an engine gets from the versions that it holds to the versions that it should hold. Stateless. */
public interface PlacementPlanner extends Plugin {
    /** Returns the steps in order; empty if the engine is at its target. */
    List<PlacementStep> plan(EngineView engine);
}
