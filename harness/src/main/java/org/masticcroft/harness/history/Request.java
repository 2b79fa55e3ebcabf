package org.masticcroft.harness.history;

import java.util.Objects;
import java.util.Optional;

/**
 * A request with its outcome, which is absent if the load driver ended before the response.
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

    /** Returns whether the response says that the request was not run. */
    public boolean isNotRun() {
        return outcome.map(Outcome::isNotRun).orElse(false);
    }
}
