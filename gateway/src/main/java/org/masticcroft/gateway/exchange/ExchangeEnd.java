package org.masticcroft.gateway.exchange;

import java.util.Objects;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * How a request ended.
 *
 * @param status HTTP status that the caller received; 0 if its connection was closed
 * @param verdict whether the request may have run
 * @param reason reason of a failure; empty for an answer that was passed on
 * @param sends times that the request was sent to an upstream
 * @param answered whether a streamed answer was started
 * @param upstream id of the upstream that answered; empty if none did
 */
public record ExchangeEnd(int status, Verdict verdict, String reason, int sends, boolean answered, String upstream) {
    public ExchangeEnd {
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(upstream, "upstream");
    }
}
