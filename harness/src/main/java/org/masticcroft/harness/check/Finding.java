package org.masticcroft.harness.check;

import java.util.ArrayList;
import java.util.List;

/**
 * Result of checking one invariant.
 *
 * @param checked number of cases to which the invariant applied
 * @param violations the violations
 */
public record Finding(int checked, List<Violation> violations) {
    public Finding {
        violations = List.copyOf(violations);
    }

    /** Collects cases and violations. */
    static final class Builder {
        private final List<Violation> violations = new ArrayList<>();
        private int checked;

        void countCase() {
            checked++;
        }

        void add(Violation violation) {
            violations.add(violation);
        }

        Finding build() {
            return new Finding(checked, violations);
        }
    }
}
