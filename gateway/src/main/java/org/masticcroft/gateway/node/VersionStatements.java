package org.masticcroft.gateway.node;

import java.time.Duration;
import java.util.List;
import org.masticcroft.gateway.fleet.ExecutionPauses;
import org.masticcroft.gateway.fleet.NamedVersions;
import org.masticcroft.gateway.generated.Datagram;
import org.masticcroft.gateway.generated.NamedWeights;
import org.masticcroft.gateway.generated.VersionAges;
import org.masticcroft.gateway.loop.InputClock;
import org.masticcroft.kernel.time.TimeSource;

/**
 * What the entries state on the ages of the named versions, kept by a sidecar for entries that start later. An entry
 * that does not know how long ago a version was named may not use the one before it.
 */
final class VersionStatements {
    /**
     * Time by which a version may be older than an entry states: a read of the store may hang for 2.2 s until it counts
     * as failed, and only harmed links hold a datagram for more than half a second.
     */
    private static final Duration LATE_NEWS = Duration.ofMillis(2700);

    private final InputClock inputs;
    private final ExecutionPauses pauses;
    private final NamedVersions versions;

    VersionStatements(TimeSource time, InputClock inputs) {
        this.inputs = inputs;
        this.pauses = ExecutionPauses.watch(time);
        this.versions = NamedVersions.empty(time);
    }

    /** Looks for a pause of this process; to be called at short intervals. */
    void checkPauses() {
        versions.addElapsed(pauses.check());
    }

    /** Records the statements of an entry that have just been received. */
    void record(List<NamedWeights> stated) {
        checkPauses();
        Duration late = longer(inputs.longestWait(), pauses.greatestAgeOfNews()).plus(LATE_NEWS);
        for (NamedVersions.VersionAge version : decode(stated)) {
            Duration greatestAge = version.greatestAge().plus(late);
            versions.add(version.model(), version.version(), greatestAge);
            versions.limitAge(version.model(), version.version(), greatestAge);
        }
    }

    /** Returns the reply to an entry that asks for the ages; it states none of a version that no entry has stated. */
    Datagram reply(long askedNanos) {
        checkPauses();
        VersionAges.Builder ages = VersionAges.newBuilder().setAskedNanos(askedNanos);
        versions.ages().forEach(version -> ages.addVersions(encode(version)));
        return Datagram.newBuilder().setAges(ages).build();
    }

    /** Encodes a version with its age, unless that is unknown. */
    static NamedWeights encode(NamedVersions.VersionAge version) {
        return NamedWeights.newBuilder()
                .setModel(version.model())
                .setVersion(version.version())
                .setAgeMillis(version.greatestAge().toMillis() + 1)
                .build();
    }

    /** Decodes the versions whose age is stated. */
    static List<NamedVersions.VersionAge> decode(List<NamedWeights> stated) {
        return stated.stream()
                .filter(version -> version.getAgeMillis() > 0)
                .map(version -> new NamedVersions.VersionAge(
                        version.getModel(), version.getVersion(), Duration.ofMillis(version.getAgeMillis())))
                .toList();
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}
