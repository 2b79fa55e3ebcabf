package org.masticcroft.account.report;

import java.time.Instant;
import org.masticcroft.account.verify.Verification.Gap;

/** Renders a stated gap as one line. */
final class GapText {
    private GapText() {}

    static String of(Gap gap) {
        String writer = gap.writer().isEmpty() ? "log" : gap.writer();
        String records = gap.records() < 0 ? "unknown number of records" : gap.records() + " records";
        return writer + ": " + gap.reason() + ", " + time(gap.fromMillis()) + " to " + time(gap.toMillis()) + ", "
                + records;
    }

    private static String time(long millis) {
        return millis == 0 ? "unknown" : Instant.ofEpochMilli(millis).toString();
    }
}
