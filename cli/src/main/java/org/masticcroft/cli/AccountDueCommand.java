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

/** Reports whether an export of the account is due, before the log deletes records that were not exported. */
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
    private static final Duration MIN_RETENTION = Duration.ofSeconds(1);
    private static final Duration MAX_RETENTION = Duration.ofDays(3660);
    private static final int RETENTION_DIVISOR = 2;

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
        SettingValidator validator = new SettingValidator();
        Duration retentionTime = validator.duration("--retention", retention, MIN_RETENTION, MAX_RETENTION);
        validator.throwIfAny(command.commandLine());
        try (Platform platform = settings.open(context, new SettingValidator())) {
            LogPage page = platform.log().read(Streams.ACCOUNT, nextOffset, 1, Duration.ZERO);
            ExportStatus status =
                    ExportStatus.of(page, nextOffset, context.time().now(), retentionTime.dividedBy(RETENTION_DIVISOR));
            output.print(status, out -> out.println(status.describe()));
            return status.due() ? ExitCodes.PROBLEM : ExitCodes.OK;
        }
    }

    /**
     * Whether an export is due, and why.
     *
     * @param due whether an export is due
     * @param lostRecords log records that the log deleted before they were exported
     * @param oldestAgeMillis age of the oldest record that is not exported, in ms; 0 if there is none
     */
    private record ExportStatus(
            @JsonProperty("due") boolean due,
            @JsonProperty("lost_records") long lostRecords,
            @JsonProperty("oldest_age_ms") long oldestAgeMillis) {

        static ExportStatus of(LogPage page, long nextOffset, Instant now, Duration maxAge) {
            long lost = Math.max(0, page.earliest() - nextOffset);
            long age = page.records().stream()
                    .findFirst()
                    .map(record -> Duration.between(record.time(), now).toMillis())
                    .orElse(0L);
            return new ExportStatus(lost > 0 || age > maxAge.toMillis(), lost, age);
        }

        String describe() {
            return (due ? "an export is due" : "no export is due") + ": oldest record that is not exported is "
                    + DurationText.format(Duration.ofMillis(oldestAgeMillis)) + " old, " + lostRecords
                    + " log records lost";
        }
    }
}
