package org.masticcroft.kernel.plugin;

/** A decision implementation that registers itself through {@code META-INF/services}. */
public interface Plugin {
    /** Returns the name by which the configuration selects this implementation. */
    String name();
}
