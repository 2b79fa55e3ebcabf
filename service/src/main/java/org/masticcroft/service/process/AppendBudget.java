package org.masticcroft.service.process;

import java.time.Duration;
import java.util.Objects;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.instance.InstanceList;

/**
 * Scales the flush intervals of the account with the size of the fleet, so that all writers together stay within the
 * account's share of the log's append rate. Every process computes the same scale from the instance list.
 */
final class AppendBudget {
    /** Base interval of an entry. */
    static final Duration ENTRY_FLUSH = Duration.ofSeconds(1);

    /** Base interval of a sidecar; longer, because its records only back up those of the entries. */
    static final Duration SIDECAR_FLUSH = Duration.ofSeconds(5);

    /** Appends per second of the whole account: a third of the 300 that the log accepts. */
    private static final double MAX_APPENDS_PER_SECOND = 100;

    private static final double MILLIS_PER_SECOND = 1000;

    private final InstanceList instances;

    private AppendBudget(InstanceList instances) {
        this.instances = instances;
    }

    static AppendBudget of(InstanceList instances) {
        return new AppendBudget(Objects.requireNonNull(instances, "instances"));
    }

    /** Returns the interval for a writer with this base interval, which is never shortened. */
    Duration scaledInterval(Duration baseInterval) {
        double baseRate = instances.instances().stream()
                .mapToDouble(AppendBudget::appendsPerSecond)
                .sum();
        double scale = Math.max(1, baseRate / MAX_APPENDS_PER_SECOND);
        return Duration.ofMillis(Math.round(baseInterval.toMillis() * scale));
    }

    private static double appendsPerSecond(Instance instance) {
        Duration baseInterval = instance.role() == Instance.Role.ENTRY ? ENTRY_FLUSH : SIDECAR_FLUSH;
        return MILLIS_PER_SECOND / baseInterval.toMillis();
    }
}
