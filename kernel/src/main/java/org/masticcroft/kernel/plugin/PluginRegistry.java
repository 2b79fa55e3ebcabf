package org.masticcroft.kernel.plugin;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Finds the implementations of one kind of plug-in by name.
 *
 * @param <P> the plug-in interface
 */
public final class PluginRegistry<P extends Plugin> {
    private final Map<String, P> plugins;

    private PluginRegistry(Map<String, P> plugins) {
        this.plugins = plugins;
    }

    /** Loads all implementations of {@code type} that are registered on the class path. */
    public static <P extends Plugin> PluginRegistry<P> of(Class<P> type) {
        Map<String, P> plugins = new TreeMap<>();
        for (P plugin : ServiceLoader.load(Objects.requireNonNull(type, "type"))) {
            P other = plugins.putIfAbsent(plugin.name(), plugin);
            if (other != null) {
                throw new IllegalStateException("two plug-ins of " + type.getName() + " are named " + plugin.name());
            }
        }
        return new PluginRegistry<>(plugins);
    }

    public SortedSet<String> names() {
        return new TreeSet<>(plugins.keySet());
    }

    /** Returns the plug-in of that name. */
    public Optional<P> find(String name) {
        return Optional.ofNullable(plugins.get(name));
    }

    /**
     * Returns the plug-in of that name.
     *
     * @throws IllegalArgumentException if there is none; the message lists the known names
     */
    public P require(String name) {
        return find(name)
                .orElseThrow(() ->
                        new IllegalArgumentException("no plug-in named " + name + "; known: " + plugins.keySet()));
    }
}
