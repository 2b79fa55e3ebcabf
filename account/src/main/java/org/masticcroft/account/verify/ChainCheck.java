package org.masticcroft.account.verify;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.masticcroft.account.batch.BatchHeader;
import org.masticcroft.account.verify.Verification.Finding;
import org.masticcroft.account.verify.Verification.Gap;
import org.masticcroft.account.verify.Verification.Kind;
import org.masticcroft.account.verify.Verification.Reason;

/** Checks the hash chain and the record numbers of each writer. */
final class ChainCheck {
    private final Map<String, BatchHeader> lastByWriter = new LinkedHashMap<>();

    /** Checks a batch against the preceding batch of its writer; adds findings and gaps. */
    void check(BatchHeader header, String location, List<Finding> findings, List<Gap> gaps) {
        BatchHeader preceding = lastByWriter.put(header.writer(), header);
        if (preceding == null) {
            checkFirst(header, location, findings, gaps);
        } else {
            checkContinuation(preceding, header, location, findings);
        }
        header.gap()
                .ifPresent(gap -> gaps.add(
                        new Gap(header.writer(), Reason.BUFFER_FULL, gap.fromMillis(), gap.toMillis(), gap.count())));
    }

    /** Returns a gap for each writer whose last batch in the file is not its final one. */
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

    private static void checkFirst(BatchHeader header, String location, List<Finding> findings, List<Gap> gaps) {
        boolean startsChain = header.previous().equals(BatchHeader.NO_PREVIOUS);
        long firstNumber = header.gap().map(BatchHeader.Gap::first).orElse(header.first());
        if (startsChain && firstNumber != 0) {
            findings.add(new Finding(Kind.NUMBERING, location + ": the chain starts at record " + firstNumber));
        }
        if (!startsChain) {
            gaps.add(new Gap(header.writer(), Reason.STARTS_LATE, 0, header.openedMillis(), header.first()));
        }
    }

    private static void checkContinuation(
            BatchHeader preceding, BatchHeader header, String location, List<Finding> findings) {
        if (preceding.last() || !header.previous().equals(preceding.hash())) {
            findings.add(new Finding(Kind.CHAIN, location + ": does not follow the writer's previous batch"));
        }
        long firstNumber = header.gap().map(BatchHeader.Gap::first).orElse(header.first());
        long firstKeptNumber =
                header.gap().map(gap -> gap.first() + gap.count()).orElse(header.first());
        if (firstNumber != preceding.nextRecordNumber() || firstKeptNumber != header.first()) {
            findings.add(new Finding(
                    Kind.NUMBERING,
                    location + ": record " + header.first() + " follows record " + (preceding.nextRecordNumber() - 1)));
        }
    }
}
