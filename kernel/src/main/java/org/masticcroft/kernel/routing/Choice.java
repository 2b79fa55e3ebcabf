package org.masticcroft.kernel.routing;

import java.util.Objects;

/**
 * A chosen upstream with the reason for the choice, for the log and the account.
 *
 * @param upstream name of the upstream
 * @param reason short stable reason, for example {@code prefix-affinity}
 */
public record Choice(String upstream, String reason) {
    public Choice {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(reason, "reason");
    }
}
