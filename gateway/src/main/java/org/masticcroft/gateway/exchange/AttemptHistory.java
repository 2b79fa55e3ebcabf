package org.masticcroft.gateway.exchange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.masticcroft.gateway.dispatch.QueuedRequest.Choice;
import org.masticcroft.gateway.dispatch.Upstream;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * The attempts of one request. At most one of them is the current one. An earlier one may be open beside it: a stalled
 * one, which has ended in this history and is opened once more if it goes on, or one that was hedged.
 */
final class AttemptHistory {
    private final List<AttemptTrace> attempts = new ArrayList<>();
    private int started;
    private Attempt current;
    private Attempt stalled;
    private Attempt hedged;

    void start(Choice choice) {
        started++;
        current = new Attempt(started, choice);
    }

    /** Records that the current attempt has stalled. */
    void stall(Verdict verdict, String reason) {
        stalled = current;
        end(verdict, reason);
    }

    /** Records that another attempt is about to be started beside the current one. */
    void hedge() {
        hedged = current;
        current = null;
    }

    /** Makes the attempt that stalled or was hedged the current one, because it goes on. */
    void resumeEarlier() {
        if (hedged == null) {
            start(stalled.choice);
        } else {
            current = hedged;
            hedged = null;
        }
    }

    /** Records how the current attempt ended; does nothing if there is none. */
    void end(Verdict verdict, String reason) {
        if (current != null) {
            attempts.add(current.trace(verdict, reason));
            current = null;
        }
    }

    /** Records how the attempt ended that was hedged. */
    void endHedged(Verdict verdict, String reason) {
        attempts.add(hedged.trace(verdict, reason));
        hedged = null;
    }

    /** Returns the attempts that have ended, in the order in which they were started. */
    List<AttemptTrace> traces() {
        return attempts.stream()
                .sorted(Comparator.comparingInt(AttemptTrace::number))
                .toList();
    }

    private record Attempt(int number, Choice choice) {
        AttemptTrace trace(Verdict verdict, String reason) {
            Upstream upstream = choice.upstream();
            return new AttemptTrace(
                    number,
                    upstream.id(),
                    upstream.listing().startMillis(),
                    upstream.servedVersion(),
                    choice.candidates(),
                    Math.round(choice.predictedMillis()),
                    choice.load(),
                    verdict,
                    reason);
        }
    }
}
