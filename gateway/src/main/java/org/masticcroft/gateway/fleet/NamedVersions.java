package org.masticcroft.gateway.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.masticcroft.kernel.time.TimeSource;

/** The versions of weights that the operator has named, with the time at which this process learned of each one. */
public final class NamedVersions {
    /** Assumed age of a version that was named before this process started. */
    private static final Duration AGE_OF_EARLIER_VERSIONS = Duration.ofHours(1);

    private final TimeSource time;
    /** Monotonic time at which this process learned of each version, by model and version. */
    private final Map<String, TreeMap<Long, Long>> learnedNanos = new HashMap<>();

    private NamedVersions(TimeSource time) {
        this.time = time;
    }

    /** Creates a set without versions. */
    public static NamedVersions empty(TimeSource time) {
        return new NamedVersions(time);
    }

    /**
     * Adds a version that this process has just learned of; returns whether it is newer than all known ones of the
     * model.
     */
    public boolean add(String model, long version) {
        TreeMap<Long, Long> versions = learnedNanos.computeIfAbsent(model, key -> new TreeMap<>());
        boolean newer = versions.isEmpty() || version > versions.lastKey();
        versions.putIfAbsent(version, time.nanoTime());
        return newer;
    }

    /**
     * Adds a version that was named at an unknown time before this process started. It counts as named long ago,
     * because the time within which it has to be served may already have passed.
     *
     * @return whether it is newer than all known versions of the model
     */
    public boolean addNamedBeforeStart(String model, long version) {
        TreeMap<Long, Long> versions = learnedNanos.computeIfAbsent(model, key -> new TreeMap<>());
        boolean newer = versions.isEmpty() || version > versions.lastKey();
        versions.putIfAbsent(version, time.nanoTime() - AGE_OF_EARLIER_VERSIONS.toNanos());
        return newer;
    }

    /** Returns the newest named version of a model; empty if none was named. */
    public OptionalLong newest(String model) {
        TreeMap<Long, Long> versions = learnedNanos.get(model);
        return versions == null ? OptionalLong.empty() : OptionalLong.of(versions.lastKey());
    }

    /** Returns the time since this process learned of a version; zero if it does not know it. */
    public Duration age(String model, long version) {
        Long learned = learnedNanos.getOrDefault(model, new TreeMap<>()).get(version);
        return learned == null ? Duration.ZERO : time.since(learned);
    }

    /**
     * Returns the time since this process learned that a version is no longer the newest of its model; empty if none is
     * newer.
     */
    public Optional<Duration> outdatedFor(String model, long version) {
        return learnedNanos.getOrDefault(model, new TreeMap<>()).tailMap(version, false).values().stream()
                .map(time::since)
                .max(Duration::compareTo);
    }

    /** Returns the newest named version of each model. */
    public Map<String, Long> newest() {
        Map<String, Long> newestByModel = new HashMap<>();
        learnedNanos.forEach((model, versions) -> newestByModel.put(model, versions.lastKey()));
        return newestByModel;
    }

    /**
     * Returns the oldest version that may serve a new request; empty if any version may.
     *
     * @param model name of the model
     * @param bound time after which older versions must no longer be served
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
