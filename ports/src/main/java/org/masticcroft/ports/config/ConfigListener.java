package org.masticcroft.ports.config;

import org.masticcroft.kernel.config.ConfigState;

/** Is told of each version that takes effect in this process, in rising order; versions may be left out. */
@FunctionalInterface
public interface ConfigListener {
    /** Called once for a version, one call at a time; must not block. */
    void onApplied(ConfigState state);
}
