package org.masticcroft.kernel.plugin;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The implementations of one plug-in interface, by name.
 *
 * @param <P> the plug-in interface
 */
public final class PluginRegistry<P extends Plugin> {
    private final Map<String, P> plugins;

    private PluginRegistry(Map<String, P> plugins) {
        this.plugins = plugins;
    }

    /**
     * Loads all implementations of {@code type} that are registered on the class path.
     *
     * @throws IllegalStateException if two implementations have the same name
     */
    public static <P extends Plugin> PluginRegistry<P> of(Class<P> type) {
        Map<String, P> plugins = new TreeMap<>();
        for (P plugin : ServiceLoader.load(Objects.requireNonNull(type, "type"))) {
            P previous = plugins.putIfAbsent(plugin.name(), plugin);
            if (previous != null) {
                throw new IllegalStateException("duplicate plug-in name for " + type.getName() + ": " + plugin.name());
            }
        }
        return new PluginRegistry<>(plugins);
    }

    /** Returns the names of all plug-ins, sorted. */
    public SortedSet<String> names() {
        return new TreeSet<>(plugins.keySet());
    }

    /** Returns the plug-in with the given name, if there is one. */
    public Optional<P> find(String name) {
        return Optional.ofNullable(plugins.get(name));
    }

    /**
     * Returns the plug-in with the given name.
     *
     * @throws IllegalArgumentException if there is no such plug-in; the message lists the known names
     */
    public P require(String name) {
        return find(name)
                .orElseThrow(() ->
                        new IllegalArgumentException("no plug-in named " + name + "; known: " + plugins.keySet()));
    }
}
