package org.masticcroft.kernel.placement;

import java.util.List;
import org.masticcroft.kernel.plugin.Plugin;

/** Plans the steps from the weights that an engine holds to those that it should hold. Stateless. */
public interface PlacementPlanner extends Plugin {
    /** Returns the steps in order of execution; empty if the engine is at its target or nothing can be done. */
    List<PlacementStep> plan(EngineView engine);
}
