package org.masticcroft.kernel.plugin;

/** A named implementation of a decision policy, registered in {@code META-INF/services}. */
public interface Plugin {
    /** Returns the name by which the configuration selects this implementation. */
    String name();
}
