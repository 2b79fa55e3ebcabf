package org.masticcroft.kernel.config;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Records which file set each value of a merged configuration.
 *
 * @param files file names by dotted key; a map belongs to the last file that contributed to it
 */
public record Provenance(SortedMap<String, String> files) {
    public Provenance {
        files = Collections.unmodifiableSortedMap(new TreeMap<>(files));
    }

    /** Creates a provenance from file names by dotted key. */
    public static Provenance of(Map<String, String> files) {
        return new Provenance(new TreeMap<>(files));
    }

    /** Returns the file that set {@code key}, or empty if no file did and the default applies. */
    public Optional<String> file(String key) {
        return Optional.ofNullable(files.get(key));
    }
}
