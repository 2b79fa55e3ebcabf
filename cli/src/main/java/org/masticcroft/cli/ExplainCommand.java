package org.masticcroft.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.masticcroft.account.search.RequestSearch;
import org.masticcroft.account.search.RequestTrail;
import org.masticcroft.account.search.TrailText;
import org.masticcroft.cli.fleet.Platform;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Prints the routing history of one request from the account, or asks an entry where a request would be sent now.
 */
@Command(
        name = "explain",
        description =
                "Prints which model and version served a request, on which upstream, under which configuration and"
                        + " why that one. With --entry, prints where a request would be sent now, without sending it.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:found",
            "1:the account holds nothing about the request, or the entry does not accept the question",
            "2:the command line is not valid",
            "5:the log or the entry does not answer, or the file cannot be read"
        })
final class ExplainCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private PlatformSettings settings;

    @Mixin
    private OutputOption output;

    @Option(names = "--file", paramLabel = "FILE", description = "Search this exported file instead of the log.")
    private Path file;

    @Parameters(
            paramLabel = "REQUEST-ID",
            arity = "0..1",
            description = "The value of X-Masticcroft-Request-Id; not with --entry.")
    private String requestId;

    @ArgGroup(exclusive = false, heading = "Where a request would be sent now:%n")
    private EntryQuestion question;

    @Spec
    private CommandSpec command;

    ExplainCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() throws IOException {
        if ((requestId == null) == (question == null)) {
            throw new ParameterException(command.commandLine(), "either REQUEST-ID or --entry must be given");
        }
        if (question != null) {
            return question.ask(output);
        }
        RequestTrail trail = file == null ? searchLog() : RequestSearch.inFile(file, requestId);
        if (trail.isEmpty()) {
            output.printMessage("the account holds nothing about request " + requestId
                    + "; entries append their records within seconds");
            return ExitCodes.PROBLEM;
        }
        output.print(trail, out -> out.println(TrailText.of(trail)));
        return ExitCodes.OK;
    }

    private RequestTrail searchLog() {
        try (Platform platform = settings.open(context, new SettingValidator())) {
            return RequestSearch.inLog(platform.log(), requestId);
        }
    }
}
