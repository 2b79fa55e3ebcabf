package org.masticcroft.gateway.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.masticcroft.kernel.time.TimeSource;

/** The versions of weights that the operator has named, with the earliest time at which each may have been named. */
public final class NamedVersions {
    /** Assumed age of a version that was named before this process started. */
    private static final Duration AGE_OF_EARLIER_VERSIONS = Duration.ofHours(1);

    private final TimeSource time;
    /** Earliest monotonic time at which each version may have been named, by model and version. */
    private final Map<String, TreeMap<Long, Long>> namedNanos = new HashMap<>();

    private NamedVersions(TimeSource time) {
        this.time = time;
    }

    /** Creates a set without versions. */
    public static NamedVersions empty(TimeSource time) {
        return new NamedVersions(time);
    }

    /**
     * Adds a version that was named just now; returns whether it is newer than all known ones of the model.
     */
    public boolean add(String model, long version) {
        return add(model, version, Duration.ZERO);
    }

    /**
     * Adds a version.
     *
     * @param greatestAge longest time for which the version may have been named
     * @return whether it is newer than all known versions of the model
     */
    public boolean add(String model, long version, Duration greatestAge) {
        TreeMap<Long, Long> versions = namedNanos.computeIfAbsent(model, key -> new TreeMap<>());
        boolean newer = versions.isEmpty() || version > versions.lastKey();
        versions.putIfAbsent(version, time.nanoTime() - greatestAge.toNanos());
        return newer;
    }

    /**
     * Adds a version that was named at an unknown time before this process started. It counts as named long ago,
     * because the time within which it has to be served may already have passed.
     *
     * @return whether it is newer than all known versions of the model
     */
    public boolean addNamedBeforeStart(String model, long version) {
        return add(model, version, AGE_OF_EARLIER_VERSIONS);
    }

    /**
     * Applies the statement of another process on a version that is not newer than those known here. If no older
     * version is known, the one before it counts as named long ago.
     *
     * @param greatestAge longest time for which the version may have been named
     * @return whether the version may be younger than was known
     */
    public boolean limitAge(String model, long version, Duration greatestAge) {
        TreeMap<Long, Long> versions = namedNanos.get(model);
        if (versions == null || version > versions.lastKey()) {
            return false;
        }
        long earliestNanos = time.nanoTime() - greatestAge.toNanos();
        if (versions.getOrDefault(version, Long.MIN_VALUE) >= earliestNanos) {
            return false;
        }
        versions.put(version, earliestNanos);
        if (versions.firstKey() == version) {
            versions.put(version - 1, time.nanoTime() - AGE_OF_EARLIER_VERSIONS.toNanos());
        }
        return true;
    }

    /** Returns the versions whose age is known, with the longest time for which each may have been named. */
    public List<VersionAge> ages() {
        List<VersionAge> ages = new ArrayList<>();
        namedNanos.forEach((model, versions) -> versions.forEach((version, nanos) -> {
            Duration age = time.since(nanos);
            if (age.compareTo(AGE_OF_EARLIER_VERSIONS) < 0) {
                ages.add(new VersionAge(model, version, age));
            }
        }));
        return ages;
    }

    /** Returns whether the newest version of a model was named at an unknown time before this process started. */
    public boolean ageUnknown() {
        return namedNanos.values().stream()
                .anyMatch(versions ->
                        time.since(versions.lastEntry().getValue()).compareTo(AGE_OF_EARLIER_VERSIONS) >= 0);
    }

    /** The longest time for which a version of the weights of a model may have been named. */
    public record VersionAge(String model, long version, Duration greatestAge) {}

    /** Adds time that the monotonic clock has not counted to the age of all versions. */
    public void addElapsed(Duration uncounted) {
        namedNanos.values().forEach(versions -> versions.replaceAll((version, nanos) -> nanos - uncounted.toNanos()));
    }

    /** Returns the newest named version of a model; empty if none was named. */
    public OptionalLong newest(String model) {
        TreeMap<Long, Long> versions = namedNanos.get(model);
        return versions == null ? OptionalLong.empty() : OptionalLong.of(versions.lastKey());
    }

    /** Returns the longest time for which a version may have been named; zero if this process does not know it. */
    public Duration age(String model, long version) {
        Long learned = namedNanos.getOrDefault(model, new TreeMap<>()).get(version);
        return learned == null ? Duration.ZERO : time.since(learned);
    }

    /**
     * Returns the longest time for which a version may no longer have been the newest of its model; empty if none is
     * newer.
     */
    public Optional<Duration> outdatedFor(String model, long version) {
        return namedNanos.getOrDefault(model, new TreeMap<>()).tailMap(version, false).values().stream()
                .map(time::since)
                .max(Duration::compareTo);
    }

    /** Returns the newest named version of each model. */
    public Map<String, Long> newest() {
        Map<String, Long> newestByModel = new HashMap<>();
        namedNanos.forEach((model, versions) -> newestByModel.put(model, versions.lastKey()));
        return newestByModel;
    }

    /**
     * Returns the oldest version that may serve a new request; empty if any version may.
     *
     * @param model name of the model
     * @param bound time after which older versions must no longer be served
     */
    public OptionalLong oldestAllowed(String model, Duration bound) {
        TreeMap<Long, Long> versions = namedNanos.get(model);
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
