package org.masticcroft.gateway.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.masticcroft.kernel.time.TimeSource;

/** The versions of weights that the operator has named, with the time at which this process learned of each. */
public final class NamedVersions {
    private static final Duration LONG_AGO = Duration.ofHours(1);

    private final TimeSource time;
    private final Map<String, TreeMap<Long, Long>> learnedNanos = new HashMap<>();

    private NamedVersions(TimeSource time) {
        this.time = time;
    }

    /** Creates an empty set. */
    public static NamedVersions empty(TimeSource time) {
        return new NamedVersions(time);
    }

    /** Records a version; returns whether it is newer than all known ones. */
    public boolean add(String model, long version) {
        TreeMap<Long, Long> versions = learnedNanos.computeIfAbsent(model, key -> new TreeMap<>());
        boolean newer = versions.isEmpty() || version > versions.lastKey();
        versions.putIfAbsent(version, time.nanoTime());
        return newer;
    }

    /**
     * Records a version that was named at an unknown time before this process started. It counts as named long ago,
     * because the time within which it has to serve may be up.
     */
    public boolean addNamedBeforeStart(String model, long version) {
        TreeMap<Long, Long> versions = learnedNanos.computeIfAbsent(model, key -> new TreeMap<>());
        boolean newer = versions.isEmpty() || version > versions.lastKey();
        versions.putIfAbsent(version, time.nanoTime() - LONG_AGO.toNanos());
        return newer;
    }

    /** Returns the newest version of a model, if one was named. */
    public OptionalLong newest(String model) {
        TreeMap<Long, Long> versions = learnedNanos.get(model);
        return versions == null ? OptionalLong.empty() : OptionalLong.of(versions.lastKey());
    }

    /** Returns all models with their newest versions. */
    public Map<String, Long> newest() {
        Map<String, Long> all = new HashMap<>();
        learnedNanos.forEach((model, versions) -> all.put(model, versions.lastKey()));
        return all;
    }

    /**
     * Returns the oldest version that may serve a new request.
     *
     * @param model name of the model
     * @param bound time after which an older version must not serve any more
     */
    public OptionalLong oldestAllowed(String model, Duration bound) {
        TreeMap<Long, Long> versions = learnedNanos.get(model);
        if (versions == null) {
            return OptionalLong.empty();
        }
        for (Map.Entry<Long, Long> entry : versions.descendingMap().entrySet()) {
            if (time.since(entry.getValue()).compareTo(bound) >= 0) {
                return OptionalLong.of(entry.getKey());
            }
        }
        return OptionalLong.empty();
    }
}
