package org.masticcroft.harness.check;

import java.util.ArrayList;
import java.util.List;
import org.masticcroft.harness.history.Mark;
import org.masticcroft.harness.history.Outcome;
import org.masticcroft.harness.history.Request;

/**
 * Invariant 6: a planned stop cuts off no request in progress.
 *
 * <p>A request is cut off if its connection broke, its response ended early, or it failed after it may have run. It
 * counts against a stop if it ended during the stop and was sent to the stopping entry or upstream; in the stop of an
 * upstream, a cut-off request whose upstream is unknown counts as well.
 *
 * <p>A cut-off request does not count if a marked fault that overlaps it may have caused it:
 *
 * <ul>
 *   <li>a fault of its entry;
 *   <li>a fault of its upstream, unless the connection to the entry broke;
 *   <li>any fault, if its upstream is unknown, unless the connection to the stopping entry broke.
 * </ul>
 *
 * <p>A request that was sent after the stop began, and for which neither a byte of a response nor an execution is
 * recorded, was not yet in progress.
 */
public final class GracefulStop implements Invariant {
    private record Window(String name, long beginMs, long endMs) {
        private boolean contains(long timeMs) {
            return timeMs >= beginMs && timeMs <= endMs;
        }

        private boolean overlaps(long fromMs, long toMs) {
            return fromMs <= endMs && toMs >= beginMs;
        }
    }

    @Override
    public int number() {
        return 6;
    }

    @Override
    public String title() {
        return "a planned stop interrupts no request in progress";
    }

    @Override
    public Finding check(Evidence evidence) {
        Finding.Builder finding = new Finding.Builder();
        List<Window> stops = windows(evidence.marks(), Mark.STOP_BEGIN, Mark.STOP_END);
        List<Window> faults = windows(evidence.marks(), Mark.FAULT_BEGIN, Mark.FAULT_END);
        for (Window stop : stops) {
            for (Request request : evidence.requests()) {
                request.outcome()
                        .filter(outcome -> stop.contains(outcome.timeMs()))
                        .ifPresent(outcome -> {
                            finding.countCase();
                            if (isCutOff(outcome)
                                    && wasInProgress(evidence, request, outcome, stop)
                                    && involves(request, outcome, stop)
                                    && faults.stream()
                                            .noneMatch(fault -> mayBeCausedByFault(request, outcome, stop, fault))) {
                                finding.add(Violation.of(
                                        request,
                                        "cut off during the planned stop of " + stop.name() + ": "
                                                + describe(outcome)));
                            }
                        });
            }
        }
        return finding.build();
    }

    private static boolean isCutOff(Outcome outcome) {
        boolean wasRefused = outcome.isNotRun() && outcome.answer().isEmpty();
        boolean endedEarly = outcome.status() == 200 && !outcome.complete() && !isTimeout(outcome) && !wasRefused;
        boolean failedAfterRun = isFailure(outcome) && !outcome.verdict().isEmpty() && !outcome.isNotRun();
        return outcome.error().equals(Outcome.BROKEN) || endedEarly || failedAfterRun;
    }

    /**
     * Refusals of re-sent orders (409) and requests that reached their deadline (504) are not failures here, because
     * the stop interrupted nothing.
     */
    private static boolean isFailure(Outcome outcome) {
        return outcome.status() >= 500 && outcome.status() != 504;
    }

    private static boolean isTimeout(Outcome outcome) {
        return outcome.error().equals(Outcome.TIMEOUT);
    }

    private static boolean wasInProgress(Evidence evidence, Request request, Outcome outcome, Window stop) {
        return request.invoke().timeMs() < stop.beginMs()
                || outcome.status() != 0
                || !evidence.executions(request).isEmpty();
    }

    private static boolean involves(Request request, Outcome outcome, Window stop) {
        return isAtEntry(request, stop)
                || outcome.upstream().equals(stop.name())
                || outcome.upstream().isEmpty() && !isAddress(stop.name());
    }

    private static boolean mayBeCausedByFault(Request request, Outcome outcome, Window stop, Window fault) {
        boolean isConnectionBroken = outcome.error().equals(Outcome.BROKEN);
        boolean mayInvolveUpstream =
                outcome.upstream().isEmpty() || outcome.upstream().equals(fault.name());
        boolean isAtUpstream = mayInvolveUpstream
                && (!isConnectionBroken
                        || !isAtEntry(request, stop) && outcome.upstream().isEmpty());
        return fault.overlaps(request.invoke().timeMs(), outcome.timeMs())
                && (isAtEntry(request, fault) || isAtUpstream);
    }

    private static boolean isAtEntry(Request request, Window window) {
        return request.invoke().entry().equals(window.name());
    }

    /** Entries are named by their address, upstreams by their id; the stop of one entry does not affect others. */
    private static boolean isAddress(String name) {
        return name.contains(":");
    }

    private static String describe(Outcome outcome) {
        return "status " + outcome.status() + ", error '" + outcome.error() + "', verdict '" + outcome.verdict()
                + "', code '" + outcome.code() + "'";
    }

    private static List<Window> windows(List<Mark> marks, String beginKind, String endKind) {
        List<Window> windows = new ArrayList<>();
        for (Mark begin : marks) {
            if (begin.kind().equals(beginKind)) {
                long end = marks.stream()
                        .filter(mark ->
                                mark.kind().equals(endKind) && mark.name().equals(begin.name()))
                        .mapToLong(Mark::timeMs)
                        .filter(time -> time >= begin.timeMs())
                        .min()
                        .orElse(Long.MAX_VALUE);
                windows.add(new Window(begin.name(), begin.timeMs(), end));
            }
        }
        return windows;
    }
}
