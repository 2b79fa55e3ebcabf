package org.masticcroft.cli.publish;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.masticcroft.cli.fleet.FleetProbe;
import org.masticcroft.cli.fleet.InstanceStatus;
import org.masticcroft.cli.fleet.Pause;
import org.masticcroft.kernel.time.TimeSource;

/** Waits until every listed live instance reports a version. */
public final class ConfirmationWait {
    private static final Duration INTERVAL = Duration.ofMillis(250);

    private final FleetProbe fleet;
    private final TimeSource time;
    private final Pause pause;
    private final Consumer<String> progress;

    private ConfirmationWait(FleetProbe fleet, TimeSource time, Pause pause, Consumer<String> progress) {
        this.fleet = fleet;
        this.time = time;
        this.pause = pause;
        this.progress = progress;
    }

    /**
     * Creates a wait.
     *
     * @param progress receives a line whenever the number of confirmations changes
     */
    public static ConfirmationWait of(FleetProbe fleet, TimeSource time, Pause pause, Consumer<String> progress) {
        return new ConfirmationWait(
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(time, "time"),
                Objects.requireNonNull(pause, "pause"),
                Objects.requireNonNull(progress, "progress"));
    }

    /**
     * Waits at most {@code limit}. The list is read again in each round: an instance that it drops is gone.
     *
     * @return ids of the live instances that still lack the version, or empty if the list could not be read last
     */
    public Optional<List<String>> await(long version, Duration limit) {
        long began = time.nanoTime();
        String last = "";
        while (true) {
            Optional<List<InstanceStatus>> statuses = fleet.statuses();
            Optional<List<String>> missing = statuses.map(all -> missing(all, version));
            String line = describe(statuses, version);
            if (!line.equals(last)) {
                progress.accept(line);
            }
            last = line;
            boolean done = missing.map(List::isEmpty).orElse(false);
            if (done || time.since(began).plus(INTERVAL).compareTo(limit) > 0) {
                return missing;
            }
            pause.of(INTERVAL);
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
        String waiting = missing.isEmpty() ? "" : "; missing: " + String.join(", ", missing);
        return "version " + version + ": in force on " + (live - missing.size()) + " of " + live + " live instances"
                + waiting;
    }
}
