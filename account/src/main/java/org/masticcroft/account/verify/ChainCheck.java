package org.masticcroft.account.verify;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.masticcroft.account.batch.BatchHeader;
import org.masticcroft.account.verify.Verification.Finding;
import org.masticcroft.account.verify.Verification.Gap;
import org.masticcroft.account.verify.Verification.Kind;
import org.masticcroft.account.verify.Verification.Reason;

/** Follows the hash chain and the numbering of each writer. */
final class ChainCheck {
    private final Map<String, BatchHeader> lastByWriter = new LinkedHashMap<>();

    void next(BatchHeader header, String place, List<Finding> findings, List<Gap> gaps) {
        BatchHeader before = lastByWriter.put(header.writer(), header);
        if (before == null) {
            checkFirst(header, place, findings, gaps);
        } else {
            checkContinuation(before, header, place, findings);
        }
        header.gap()
                .ifPresent(gap -> gaps.add(
                        new Gap(header.writer(), Reason.BUFFER_FULL, gap.fromMillis(), gap.toMillis(), gap.count())));
    }

    /** Returns a gap for each writer that neither ended in an orderly way nor wrote until the end of the export. */
    List<Gap> openEnds(long exportEndMillis) {
        return lastByWriter.values().stream()
                .filter(header -> !header.last())
                .map(header -> new Gap(
                        header.writer(),
                        Reason.OPEN_END,
                        header.closedMillis(),
                        Math.max(exportEndMillis, header.closedMillis()),
                        -1))
                .toList();
    }

    private static void checkFirst(BatchHeader header, String place, List<Finding> findings, List<Gap> gaps) {
        boolean startsChain = header.previous().equals(BatchHeader.NO_PREVIOUS);
        long expected = header.gap().map(BatchHeader.Gap::first).orElse(header.first());
        if (startsChain && expected != 0) {
            findings.add(new Finding(Kind.NUMBERING, place + ": the chain starts at record " + expected));
        }
        if (!startsChain) {
            gaps.add(new Gap(header.writer(), Reason.STARTS_LATE, 0, header.openedMillis(), header.first()));
        }
    }

    private static void checkContinuation(
            BatchHeader before, BatchHeader header, String place, List<Finding> findings) {
        if (before.last() || !header.previous().equals(before.hash())) {
            findings.add(new Finding(Kind.CHAIN, place + ": does not follow the writer's previous batch"));
        }
        long expected = header.gap().map(BatchHeader.Gap::first).orElse(header.first());
        long afterGap = header.gap().map(gap -> gap.first() + gap.count()).orElse(header.first());
        if (expected != before.next() || afterGap != header.first()) {
            findings.add(new Finding(
                    Kind.NUMBERING, place + ": record " + header.first() + " follows record " + (before.next() - 1)));
        }
    }
}
