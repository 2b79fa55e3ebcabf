package org.masticcroft.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.masticcroft.account.search.RequestSearch;
import org.masticcroft.account.search.RequestTrail;
import org.masticcroft.account.search.TrailText;
import org.masticcroft.cli.fleet.Platform;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints the routing history of one request from the account. */
@Command(
        name = "explain",
        description =
                "Prints which model and version served a request, on which upstream, under which configuration and"
                        + " why that one.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:found",
            "1:the account holds nothing about the request",
            "2:the command line is not valid",
            "5:the log does not answer, or the file cannot be read"
        })
final class ExplainCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private PlatformSettings settings;

    @Mixin
    private OutputOption output;

    @Option(names = "--file", paramLabel = "FILE", description = "Search this exported file instead of the log.")
    private Path file;

    @Parameters(paramLabel = "REQUEST-ID", description = "The value of X-Masticcroft-Request-Id.")
    private String requestId;

    ExplainCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() throws IOException {
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
