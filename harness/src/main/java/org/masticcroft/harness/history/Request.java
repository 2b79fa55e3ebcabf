package org.masticcroft.harness.history;

import java.util.Objects;
import java.util.Optional;

/**
 * A request with what its caller saw; the outcome is absent if the load driver ended first.
 *
 * @param invoke the request
 * @param outcome its outcome
 */
public record Request(Invoke invoke, Optional<Outcome> outcome) {
    public Request {
        Objects.requireNonNull(invoke, "invoke");
        Objects.requireNonNull(outcome, "outcome");
    }

    /** Returns the id of the request. */
    public String id() {
        return invoke.id();
    }

    /** Returns whether its caller was told that it was not run. */
    public boolean isNotRun() {
        return outcome.map(Outcome::isNotRun).orElse(false);
    }
}
