package org.masticcroft.kernel.config;

import java.util.List;
import java.util.Objects;

/** Result of loading a configuration folder: a valid configuration, or all problems that were found. */
public sealed interface ConfigResult {
    /**
     * A valid configuration.
     *
     * @param config the merged configuration
     * @param provenance the file that each value came from
     */
    record Valid(FleetConfig config, Provenance provenance) implements ConfigResult {
        public Valid {
            Objects.requireNonNull(config, "config");
            Objects.requireNonNull(provenance, "provenance");
        }
    }

    /**
     * An invalid configuration.
     *
     * @param problems all problems, sorted by file and key; never empty
     */
    record Invalid(List<ConfigProblem> problems) implements ConfigResult {
        public Invalid {
            problems = List.copyOf(problems);
            if (problems.isEmpty()) {
                throw new IllegalArgumentException("an invalid configuration has at least one problem");
            }
        }
    }
}
