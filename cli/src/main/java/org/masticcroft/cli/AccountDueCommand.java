package org.masticcroft.cli;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Callable;
import org.masticcroft.cli.fleet.Platform;
import org.masticcroft.kernel.config.DurationText;
import org.masticcroft.ports.log.LogPage;
import org.masticcroft.ports.log.Streams;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Tells whether an export of the account is due before the log forgets records. */
@Command(
        name = "due",
        description = {
            "Tells whether an export is due: whether the log holds records that are not exported and older"
                    + " than half of the retention time.",
            "Run it from a scheduler and raise an alarm on exit code 1."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:no export is due",
            "1:an export is due, or records were lost before they were exported",
            "2:the command line or a setting is not valid",
            "5:the log does not answer"
        })
final class AccountDueCommand implements Callable<Integer> {
    private static final Duration SHORTEST_RETENTION = Duration.ofSeconds(1);
    private static final Duration LONGEST_RETENTION = Duration.ofDays(3660);
    private static final int PARTS_OF_RETENTION = 2;

    private final CliContext context;

    @Spec
    private CommandSpec command;

    @Mixin
    private PlatformSettings settings;

    @Mixin
    private OutputOption output;

    @Option(
            names = "--retention",
            paramLabel = "DURATION",
            required = true,
            description = "Time for which the log keeps records, for example 168h.")
    private String retention;

    @Parameters(
            paramLabel = "NEXT-OFFSET",
            description = "The nextOffset that the last export printed with --output json; 0 before the first export.")
    private long nextOffset;

    AccountDueCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() {
        SettingProblems problems = new SettingProblems();
        Duration kept = problems.duration("--retention", retention, SHORTEST_RETENTION, LONGEST_RETENTION);
        problems.throwIfAny(command.commandLine());
        try (Platform platform = settings.open(context, new SettingProblems())) {
            LogPage page = platform.log().read(Streams.ACCOUNT, nextOffset, 1, Duration.ZERO);
            Due due = Due.of(page, nextOffset, context.time().now(), kept.dividedBy(PARTS_OF_RETENTION));
            output.print(due, out -> out.println(due.describe()));
            return due.due() ? ExitCodes.PROBLEM : ExitCodes.OK;
        }
    }

    /**
     * Result of the check.
     *
     * @param due whether an export is due
     * @param lostRecords log records that had expired before they were exported
     * @param oldestAgeMillis age of the oldest record that is not exported, in ms; 0 if there is none
     */
    private record Due(
            @JsonProperty("due") boolean due,
            @JsonProperty("lost_records") long lostRecords,
            @JsonProperty("oldest_age_ms") long oldestAgeMillis) {

        static Due of(LogPage page, long nextOffset, Instant now, Duration limit) {
            long lost = Math.max(0, page.earliest() - nextOffset);
            long age = page.records().stream()
                    .findFirst()
                    .map(record -> Duration.between(record.time(), now).toMillis())
                    .orElse(0L);
            return new Due(lost > 0 || age > limit.toMillis(), lost, age);
        }

        String describe() {
            return (due ? "an export is due" : "no export is due") + ": oldest record that is not exported is "
                    + DurationText.format(Duration.ofMillis(oldestAgeMillis)) + " old, " + lostRecords
                    + " log records lost";
        }
    }
}
