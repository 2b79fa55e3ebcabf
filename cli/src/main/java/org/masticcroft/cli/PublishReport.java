package org.masticcroft.cli;

import java.io.PrintWriter;
import org.masticcroft.cli.publish.PublishResult;

/** Prints the result of a publication and chooses the exit code. */
final class PublishReport {
    private PublishReport() {}

    static int print(OutputOption output, PublishResult result) {
        output.print(result, out -> printText(out, result));
        return exitCode(result.outcome());
    }

    private static void printText(PrintWriter out, PublishResult result) {
        String version = result.version() == 0 ? "" : ", version " + result.version();
        out.println(describe(result.outcome()) + version + ": " + result.detail());
        if (!result.missing().isEmpty()) {
            out.println("missing: " + String.join(", ", result.missing()));
            out.println("continue to wait with: masticcroft status --wait-version " + result.version());
        }
    }

    private static String describe(PublishResult.Outcome outcome) {
        return switch (outcome) {
            case ACCEPTED -> "accepted";
            case COMMITTED_NOT_IN_FORCE -> "committed, not yet in force";
            case LOST_RACE -> "lost the race";
            case NOT_PUBLISHED -> "not published";
            case UNKNOWN -> "result unknown";
        };
    }

    private static int exitCode(PublishResult.Outcome outcome) {
        return switch (outcome) {
            case ACCEPTED -> ExitCodes.OK;
            case COMMITTED_NOT_IN_FORCE -> ExitCodes.NOT_YET_IN_FORCE;
            case LOST_RACE -> ExitCodes.LOST_RACE;
            case NOT_PUBLISHED, UNKNOWN -> ExitCodes.UNAVAILABLE;
        };
    }
}
