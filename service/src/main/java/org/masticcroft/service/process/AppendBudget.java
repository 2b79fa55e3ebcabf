package org.masticcroft.service.process;

import java.time.Duration;
import java.util.Objects;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.instance.InstanceList;

/**
 * Stretches the flush intervals of the account with the size of the fleet, so that all writers together stay within
 * their share of the log's append rate. Every process works the factor out from the same list.
 */
final class AppendBudget {
    /** Usual interval of an entry. */
    static final Duration ENTRY_FLUSH = Duration.ofSeconds(1);

    /** Usual interval of a sidecar, whose records only back those of the entries up. */
    static final Duration SIDECAR_FLUSH = Duration.ofSeconds(5);

    /** Appends per second for the account, a third of a log that takes 300. */
    private static final double APPENDS_PER_SECOND = 100;

    private static final double MILLIS_PER_SECOND = 1000;

    private final InstanceList instances;

    private AppendBudget(InstanceList instances) {
        this.instances = instances;
    }

    static AppendBudget of(InstanceList instances) {
        return new AppendBudget(Objects.requireNonNull(instances, "instances"));
    }

    /** Returns the interval for a writer whose usual interval is {@code usual}. */
    Duration stretched(Duration usual) {
        double usualRate = instances.instances().stream()
                .mapToDouble(AppendBudget::appendsPerSecond)
                .sum();
        double factor = Math.max(1, usualRate / APPENDS_PER_SECOND);
        return Duration.ofMillis(Math.round(usual.toMillis() * factor));
    }

    private static double appendsPerSecond(Instance instance) {
        Duration usual = instance.role() == Instance.Role.ENTRY ? ENTRY_FLUSH : SIDECAR_FLUSH;
        return MILLIS_PER_SECOND / usual.toMillis();
    }
}
