package org.masticcroft.cli.publish;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.masticcroft.cli.fleet.FleetProbe;
import org.masticcroft.cli.fleet.Pause;
import org.masticcroft.cli.fleet.Platform;
import org.masticcroft.cli.publish.PublishResult.Outcome;
import org.masticcroft.kernel.config.ConfigRecord;
import org.masticcroft.kernel.config.ConfigState;
import org.masticcroft.kernel.config.FleetConfig;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.time.TimeSource;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.ports.log.Streams;

/**
 * Publishes a configuration. The order of the records in the log decides between racing publishers; the unique publish
 * id tells a publisher whose append got no response what became of its record. Appending a record twice is harmless,
 * because its base can be in force for one of the copies only.
 */
public final class Publisher {
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);

    /** Time to get a clear answer from the log before the result counts as unknown. */
    private static final Duration APPEND_LIMIT = Duration.ofSeconds(10);

    private final Platform platform;
    private final TimeSource time;
    private final Pause pause;
    private final Consumer<String> progress;
    private final ConfigStream stream;

    private Publisher(Platform platform, TimeSource time, Pause pause, Consumer<String> progress) {
        this.platform = platform;
        this.time = time;
        this.pause = pause;
        this.progress = progress;
        this.stream = ConfigStream.of(platform);
    }

    /**
     * Creates a publisher.
     *
     * @param progress receives a line for each step
     */
    public static Publisher of(Platform platform, TimeSource time, Pause pause, Consumer<String> progress) {
        return new Publisher(
                Objects.requireNonNull(platform, "platform"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(pause, "pause"),
                Objects.requireNonNull(progress, "progress"));
    }

    /**
     * Publishes a change of the version in force and waits until it is in force everywhere. A change that leaves the
     * configuration as it is publishes nothing, but waits as well.
     *
     * @param author name of the operator
     * @param change maps the configuration in force to the new one
     * @param wait longest time to wait for the instances
     */
    public PublishResult publish(String author, UnaryOperator<FleetConfig> change, Duration wait) {
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
            return awaitConfirmation(state.version(), "", wait);
        }
        ConfigRecord.Update update =
                new ConfigRecord.Update(UUID.randomUUID().toString(), state.version(), author, changed);
        progress.accept("publishing on base version " + update.base() + ", publish id " + update.publishId());
        PublishResult committed = commit(update);
        return committed.outcome() == Outcome.COMMITTED_NOT_IN_FORCE
                ? awaitConfirmation(committed.version(), update.publishId(), wait)
                : committed;
    }

    /** Appends until the stream tells what became of the record, or the time for that is over. */
    private PublishResult commit(ConfigRecord.Update update) {
        long began = time.nanoTime();
        long basePosition = stream.position();
        Optional<Verdict> last = Optional.empty();
        boolean mayBeInLog = false;
        do {
            if (last.filter(Verdict.RAN::equals).isEmpty()) {
                last = Optional.of(append(update));
                mayBeInLog |= last.get() != Verdict.NOT_RUN;
            }
            Optional<PublishResult> known = mayBeInLog ? lookUp(update, basePosition) : Optional.empty();
            if (known.isPresent()) {
                return known.get();
            }
            pause.of(RETRY_INTERVAL);
        } while (time.since(began).compareTo(APPEND_LIMIT) < 0);
        return mayBeInLog
                ? unknown(update)
                : result(Outcome.NOT_PUBLISHED, update.base(), "", "the log did not take the record");
    }

    private Verdict append(ConfigRecord.Update update) {
        try {
            platform.log().append(Streams.CONFIG, update.encode());
            return Verdict.RAN;
        } catch (MasticcroftException e) {
            progress.accept("append without success (" + e.verdict() + "): " + e.getMessage());
            return e.verdict();
        }
    }

    /** Returns the result if the stream tells it: a record is void for ever once its base is not in force. */
    private Optional<PublishResult> lookUp(ConfigRecord.Update update, long basePosition) {
        Optional<ConfigState> inForce;
        try {
            inForce = stream.readToEnd();
        } catch (MasticcroftException e) {
            progress.accept("looking for the record: " + e.getMessage());
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

    private PublishResult awaitConfirmation(long version, String publishId, Duration wait) {
        Optional<List<String>> missing = ConfirmationWait.of(FleetProbe.of(platform), time, pause, progress)
                .await(version, wait);
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
