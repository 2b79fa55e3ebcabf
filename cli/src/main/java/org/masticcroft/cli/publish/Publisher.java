package org.masticcroft.cli.publish;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.masticcroft.cli.fleet.FleetProbe;
import org.masticcroft.cli.fleet.Platform;
import org.masticcroft.cli.fleet.Sleeper;
import org.masticcroft.cli.publish.PublishResult.Outcome;
import org.masticcroft.kernel.config.ConfigRecord;
import org.masticcroft.kernel.config.ConfigState;
import org.masticcroft.kernel.config.FleetConfig;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.ports.log.Streams;

/**
 * Publishes a configuration by appending an update to the log. Of concurrent updates of the same base version, the
 * first in the log takes effect. A publisher whose append got no response finds its record by its unique publish id.
 * Appending a record twice is harmless, because its base version can be in force for one copy at most.
 */
public final class Publisher {
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);

    /** Time to learn the result of the append; after it, a record that may be in the log has an unknown result. */
    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(10);

    private final Platform platform;
    private final TimeSource time;
    private final Sleeper sleeper;
    private final Consumer<String> progress;
    private final ConfigStreamReader stream;

    private Publisher(Platform platform, TimeSource time, Sleeper sleeper, Consumer<String> progress) {
        this.platform = platform;
        this.time = time;
        this.sleeper = sleeper;
        this.progress = progress;
        this.stream = ConfigStreamReader.of(platform);
    }

    /**
     * Creates a publisher.
     *
     * @param progress receives a line for each step
     */
    public static Publisher of(Platform platform, TimeSource time, Sleeper sleeper, Consumer<String> progress) {
        return new Publisher(
                Objects.requireNonNull(platform, "platform"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(sleeper, "sleeper"),
                Objects.requireNonNull(progress, "progress"));
    }

    /**
     * Applies a change to the configuration in force, publishes the result and waits until every listed live instance
     * reports it. If the change has no effect, publishes nothing and waits for the version in force.
     *
     * @param author name of the operator
     * @param change maps the configuration in force to the new one
     * @param timeout longest time to wait for the instances
     */
    public PublishResult publish(String author, UnaryOperator<FleetConfig> change, Duration timeout) {
        Optional<ConfigState> base;
        try {
            base = stream.readToEnd();
        } catch (MasticcroftException e) {
            return result(Outcome.NOT_PUBLISHED, 0, "", "the version in force cannot be read: " + e.getMessage());
        }
        if (base.isEmpty()) {
            return result(Outcome.NOT_PUBLISHED, 0, "", "neither the log nor an instance tells the version in force");
        }
        ConfigState state = base.get();
        FleetConfig changed = change.apply(state.config());
        if (state.version() > 0 && changed.equals(state.config())) {
            progress.accept("version " + state.version() + " has this content already; nothing is published");
            return awaitConfirmation(state.version(), "", timeout);
        }
        ConfigRecord.Update update =
                new ConfigRecord.Update(UUID.randomUUID().toString(), state.version(), author, changed);
        progress.accept("publishing on base version " + update.base() + ", publish id " + update.publishId());
        PublishResult committed = commit(update);
        return committed.outcome() == Outcome.COMMITTED_NOT_IN_FORCE
                ? awaitConfirmation(committed.version(), update.publishId(), timeout)
                : committed;
    }

    /** Appends, with retries until the log confirms, and reads the stream until it shows the result or time is up. */
    private PublishResult commit(ConfigRecord.Update update) {
        long startNanos = time.nanoTime();
        long basePosition = stream.position();
        Optional<Verdict> lastVerdict = Optional.empty();
        boolean mayBeInLog = false;
        do {
            if (lastVerdict.filter(Verdict.RAN::equals).isEmpty()) {
                lastVerdict = Optional.of(append(update));
                mayBeInLog |= lastVerdict.get() != Verdict.NOT_RUN;
            }
            Optional<PublishResult> found = mayBeInLog ? findResult(update, basePosition) : Optional.empty();
            if (found.isPresent()) {
                return found.get();
            }
            sleeper.sleep(RETRY_INTERVAL);
        } while (time.since(startNanos).compareTo(APPEND_TIMEOUT) < 0);
        return mayBeInLog
                ? unknown(update)
                : result(Outcome.NOT_PUBLISHED, update.base(), "", "the log did not take the record");
    }

    private Verdict append(ConfigRecord.Update update) {
        try {
            platform.log().append(Streams.CONFIG, update.encode());
            return Verdict.RAN;
        } catch (MasticcroftException e) {
            progress.accept("append failed (" + e.verdict() + "): " + e.getMessage());
            return e.verdict();
        }
    }

    /**
     * Returns the result if the stream determines it. Once a version after the base is in force, the record can no
     * longer take effect.
     */
    private Optional<PublishResult> findResult(ConfigRecord.Update update, long basePosition) {
        Optional<ConfigState> inForce;
        try {
            inForce = stream.readToEnd();
        } catch (MasticcroftException e) {
            progress.accept("cannot read the log to find the record: " + e.getMessage());
            return Optional.empty();
        }
        Optional<Long> version = stream.versionOf(update.publishId());
        if (version.isPresent()) {
            progress.accept("committed as version " + version.get());
            return Optional.of(result(Outcome.COMMITTED_NOT_IN_FORCE, version.get(), update.publishId(), "committed"));
        }
        if (!stream.isContinuousFrom(basePosition)) {
            return Optional.of(unknown(update));
        }
        return inForce.filter(state -> state.version() > update.base())
                .map(state -> result(
                        Outcome.LOST_RACE,
                        state.version(),
                        update.publishId(),
                        "another update on base version " + update.base()
                                + " came first; nothing of this one takes effect"));
    }

    private PublishResult awaitConfirmation(long version, String publishId, Duration timeout) {
        Optional<List<String>> missing = ConfirmationPoller.of(FleetProbe.of(platform), time, sleeper, progress)
                .await(version, timeout);
        if (missing.isEmpty()) {
            return result(
                    Outcome.COMMITTED_NOT_IN_FORCE, version, publishId, "committed; the instance list cannot be read");
        }
        return missing.get().isEmpty()
                ? result(Outcome.ACCEPTED, version, publishId, "in force on every listed live instance")
                : new PublishResult(
                        Outcome.COMMITTED_NOT_IN_FORCE,
                        version,
                        publishId,
                        missing.get(),
                        "committed, not yet in force");
    }

    private static PublishResult unknown(ConfigRecord.Update update) {
        String detail = "the record may be in the log or still arrive there; it can only become version "
                + (update.base() + 1) + "; publish again when the log answers";
        return result(Outcome.UNKNOWN, 0, update.publishId(), detail);
    }

    private static PublishResult result(Outcome outcome, long version, String publishId, String detail) {
        return new PublishResult(outcome, version, publishId, List.of(), detail);
    }
}
