package org.masticcroft.cli.publish;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.masticcroft.cli.fleet.FleetProbe;
import org.masticcroft.cli.fleet.InstanceStatus;
import org.masticcroft.cli.fleet.Sleeper;
import org.masticcroft.kernel.time.TimeSource;

/** Polls the instances until every listed live one reports a version. */
public final class ConfirmationPoller {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

    private final FleetProbe fleet;
    private final TimeSource time;
    private final Sleeper sleeper;
    private final Consumer<String> progress;

    private ConfirmationPoller(FleetProbe fleet, TimeSource time, Sleeper sleeper, Consumer<String> progress) {
        this.fleet = fleet;
        this.time = time;
        this.sleeper = sleeper;
        this.progress = progress;
    }

    /**
     * Creates a poller.
     *
     * @param progress receives a line whenever the number of confirmations changes
     */
    public static ConfirmationPoller of(FleetProbe fleet, TimeSource time, Sleeper sleeper, Consumer<String> progress) {
        return new ConfirmationPoller(
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(sleeper, "sleeper"),
                Objects.requireNonNull(progress, "progress"));
    }

    /**
     * Waits at most {@code timeout}. Reads the instance list again in each round, so that an instance which leaves the
     * list is no longer waited for.
     *
     * @return ids of the live instances that still lack the version, or empty if the list could not be read in the last
     *     round
     */
    public Optional<List<String>> await(long version, Duration timeout) {
        long startNanos = time.nanoTime();
        String lastLine = "";
        while (true) {
            Optional<List<InstanceStatus>> statuses = fleet.statuses();
            Optional<List<String>> missing = statuses.map(list -> missing(list, version));
            String line = describe(statuses, version);
            if (!line.equals(lastLine)) {
                progress.accept(line);
            }
            lastLine = line;
            boolean allConfirmed = missing.map(List::isEmpty).orElse(false);
            if (allConfirmed || time.since(startNanos).plus(POLL_INTERVAL).compareTo(timeout) > 0) {
                return missing;
            }
            sleeper.sleep(POLL_INTERVAL);
        }
    }

    private static List<String> missing(List<InstanceStatus> statuses, long version) {
        return statuses.stream()
                .filter(status -> status.isLive() && !status.hasVersion(version))
                .map(status -> status.instance().id())
                .toList();
    }

    private static String describe(Optional<List<InstanceStatus>> statuses, long version) {
        if (statuses.isEmpty()) {
            return "version " + version + ": the instance list cannot be read";
        }
        long live = statuses.get().stream().filter(InstanceStatus::isLive).count();
        List<String> missing = missing(statuses.get(), version);
        String missingSuffix = missing.isEmpty() ? "" : "; missing: " + String.join(", ", missing);
        return "version " + version + ": in force on " + (live - missing.size()) + " of " + live + " live instances"
                + missingSuffix;
    }
}
