package org.masticcroft.gateway.exchange;

import java.util.ArrayList;
import java.util.List;
import org.masticcroft.gateway.dispatch.QueuedRequest.Choice;
import org.masticcroft.gateway.dispatch.Upstream;
import org.masticcroft.kernel.verdict.Verdict;

/** The attempts of one request, of which at most one is open. One that has stalled may be opened once more. */
final class AttemptHistory {
    private final List<AttemptTrace> attempts = new ArrayList<>();
    private Choice open;
    private Choice stalled;

    void start(Choice choice) {
        open = choice;
    }

    /** Records that the open attempt has stalled. */
    void stall(Verdict verdict, String reason) {
        stalled = open;
        end(verdict, reason);
    }

    /** Opens the attempt that stalled last, because it goes on. */
    void resumeStalled() {
        open = stalled;
    }

    /** Records how the open attempt ended; does nothing if none is open. */
    void end(Verdict verdict, String reason) {
        if (open == null) {
            return;
        }
        Upstream upstream = open.upstream();
        attempts.add(new AttemptTrace(
                attempts.size() + 1,
                upstream.id(),
                upstream.listing().startMillis(),
                upstream.servedVersion(),
                open.candidates(),
                Math.round(open.predictedMillis()),
                open.load(),
                verdict,
                reason));
        open = null;
    }

    List<AttemptTrace> traces() {
        return List.copyOf(attempts);
    }
}
