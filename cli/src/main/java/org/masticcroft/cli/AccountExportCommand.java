package org.masticcroft.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.concurrent.Callable;
import org.masticcroft.account.export.AccountExport;
import org.masticcroft.cli.fleet.Platform;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Exports the part of the account that lies in a time interval to a file. */
@Command(
        name = "export",
        description = {
            "Writes the account of an interval to a compressed file that verifies by itself.",
            "Run it again with the same arguments to resume after an interruption."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:exported",
            "2:the command line is not valid",
            "5:the log does not answer, or the file cannot be written"
        })
final class AccountExportCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private PlatformSettings settings;

    @Mixin
    private OutputOption output;

    @Option(
            names = "--from",
            paramLabel = "TIME",
            defaultValue = "1970-01-01T00:00:00Z",
            description = "Start of the interval, for example 2026-12-01T00:00:00Z. Default: everything in the log.")
    private Instant from;

    @Option(
            names = "--to",
            paramLabel = "TIME",
            defaultValue = "9999-12-31T00:00:00Z",
            description = "End of the interval. Default: everything in the log.")
    private Instant to;

    @Parameters(paramLabel = "FILE", description = "The file to write.")
    private Path file;

    AccountExportCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() throws IOException {
        try (Platform platform = settings.open(context, new SettingValidator())) {
            AccountExport.Progress exported = AccountExport.of(platform.log(), from, to, this::printProgress)
                    .writeTo(file);
            output.print(
                    exported,
                    out -> out.println(
                            "exported " + exported.records() + " records in " + exported.batches() + " batches"));
            return ExitCodes.OK;
        }
    }

    private void printProgress(AccountExport.Progress progress) {
        output.printMessage("offset " + progress.nextOffset() + " of " + progress.endOffset() + ", "
                + progress.records() + " records");
    }
}
