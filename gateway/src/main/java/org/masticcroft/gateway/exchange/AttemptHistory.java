package org.masticcroft.gateway.exchange;

import java.util.ArrayList;
import java.util.List;
import org.masticcroft.gateway.dispatch.Upstream;
import org.masticcroft.gateway.dispatch.Waiting.Choice;
import org.masticcroft.kernel.verdict.Verdict;

/** The sends of one request. At most one of them is open. */
final class AttemptHistory {
    private final List<AttemptTrace> ended = new ArrayList<>();
    private Choice open;

    void begun(Choice choice) {
        open = choice;
    }

    /** Records how the open send ended; without one, nothing happens. */
    void ended(Verdict verdict, String reason) {
        if (open == null) {
            return;
        }
        Upstream upstream = open.upstream();
        ended.add(new AttemptTrace(
                ended.size() + 1,
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
        return List.copyOf(ended);
    }
}
