package org.masticcroft.kernel.routing;

import java.util.Objects;

/**
 * The chosen upstream and the reason for the choice, which is written to the log and the account.
 *
 * @param upstream name of the upstream
 * @param reason short stable identifier of the reason, for example {@code prefix-affinity}
 */
public record Choice(String upstream, String reason) {
    public Choice {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(reason, "reason");
    }
}
