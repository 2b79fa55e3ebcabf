package org.masticcroft.cli.publish;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.cli.fleet.FleetProbe;
import org.masticcroft.cli.fleet.Platform;
import org.masticcroft.kernel.config.ConfigFold;
import org.masticcroft.kernel.config.ConfigRecord;
import org.masticcroft.kernel.config.ConfigState;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.ports.log.LogPage;
import org.masticcroft.ports.log.LogRecord;
import org.masticcroft.ports.log.Streams;

/**
 * Reads the stream {@code config} of the log, folds its records to the configuration in force and maps the publish id
 * of each update that took effect to its version.
 */
public final class ConfigStreamReader {
    private static final int RECORDS_PER_READ = 100;

    private final Platform platform;
    private final Map<String, Long> versionsByPublishId = new HashMap<>();
    private ConfigFold fold = ConfigFold.empty();
    /**
     * First offset of the gapless range that was read; moves on when records have expired or a snapshot replaces them.
     */
    private long continuousFrom;

    private ConfigStreamReader(Platform platform) {
        this.platform = platform;
    }

    /** Creates a reader at the start of the stream. */
    public static ConfigStreamReader of(Platform platform) {
        return new ConfigStreamReader(Objects.requireNonNull(platform, "platform"));
    }

    /**
     * Reads up to the end of the stream. If the retained records do not determine the version in force, takes the
     * newest snapshot that an instance offers.
     *
     * @return the version in force, or empty if neither the log nor an instance provides it
     * @throws MasticcroftException with {@code LOG_UNAVAILABLE}
     */
    public Optional<ConfigState> readToEnd() {
        LogPage page;
        long positionBefore;
        do {
            positionBefore = fold.position();
            page = platform.log().read(Streams.CONFIG, fold.position(), RECORDS_PER_READ, Duration.ZERO);
            continuousFrom = page.earliest() > fold.position() ? page.earliest() : continuousFrom;
            fold = fold.withEarliestOffset(page.earliest());
            page.records().forEach(this::applyRecord);
        } while (fold.position() < page.next() && fold.position() > positionBefore);
        if (fold.position() < page.next()) {
            throw MasticcroftException.notRun(
                    ErrorCode.LOG_UNAVAILABLE, "the log returns no records from offset " + positionBefore + " on");
        }
        if (!fold.isSynchronised()) {
            FleetProbe.of(platform).newestSnapshot().ifPresent(this::adoptSnapshot);
        }
        return fold.isSynchronised() ? Optional.of(fold.state()) : Optional.empty();
    }

    /** Returns the version that a publication became, if it took effect among the records read. */
    public Optional<Long> versionOf(String publishId) {
        return Optional.ofNullable(versionsByPublishId.get(publishId));
    }

    /** Returns the next offset to read. */
    public long position() {
        return fold.position();
    }

    /** Returns whether every record from {@code offset} up to the position was read. */
    public boolean isContinuousFrom(long offset) {
        return continuousFrom <= offset;
    }

    private void adoptSnapshot(ConfigRecord.Snapshot snapshot) {
        long positionBefore = fold.position();
        fold = fold.adopt(snapshot).fold();
        continuousFrom = fold.position() > positionBefore ? fold.position() : continuousFrom;
    }

    private void applyRecord(LogRecord logRecord) {
        Optional<ConfigRecord> decoded = ConfigRecord.decode(logRecord.data());
        if (decoded.isEmpty()) {
            fold = fold.skip(logRecord.offset());
            return;
        }
        ConfigFold.Step step = fold.fold(logRecord.offset(), decoded.get());
        fold = step.fold();
        if (step.outcome() == ConfigFold.Outcome.APPLIED && decoded.get() instanceof ConfigRecord.Update update) {
            versionsByPublishId.put(update.publishId(), fold.state().version());
        }
    }
}
