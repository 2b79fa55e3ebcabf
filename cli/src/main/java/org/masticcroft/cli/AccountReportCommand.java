package org.masticcroft.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.masticcroft.account.report.AccountReport;
import org.masticcroft.account.report.ReportFormat;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Summarises an exported account. */
@Command(
        name = "report",
        description = "Summarises an exported file by model, version, customer and rank, with its gaps.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:printed",
            "1:the file was changed or is damaged; the report says so",
            "2:the command line is not valid",
            "5:the file cannot be read"
        })
final class AccountReportCommand implements Callable<Integer> {
    @Spec
    private CommandSpec command;

    @Mixin
    private VerificationKeyOption keys;

    @Option(
            names = "--format",
            defaultValue = "text",
            description = "Form of the report: ${COMPLETION-CANDIDATES}. Default: text.")
    private Format format;

    @Parameters(paramLabel = "FILE", description = "The exported file.")
    private Path file;

    @Override
    public Integer call() throws IOException {
        AccountReport report = AccountReport.of(file, keys.read());
        PrintWriter out = command.commandLine().getOut();
        out.print(format.renderer().render(report));
        out.flush();
        return report.verification().isAuthentic() ? ExitCodes.OK : ExitCodes.PROBLEM;
    }

    private enum Format {
        text,
        csv,
        html;

        ReportFormat renderer() {
            return switch (this) {
                case text -> ReportFormat.text();
                case csv -> ReportFormat.csv();
                case html -> ReportFormat.html();
            };
        }
    }
}
