package org.masticcroft.cli;

import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.masticcroft.kernel.config.ConfigLoader;
import org.masticcroft.kernel.config.ConfigResult;
import org.masticcroft.kernel.config.FleetConfig;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Validates a configuration folder offline. */
@Command(
        name = "check",
        description = "Checks a configuration folder and prints all its problems. Uses no network.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:the folder is valid", "1:the folder has problems", "2:the command line is not valid"})
final class CheckCommand implements Callable<Integer> {
    @Mixin
    private OutputOption output;

    @Parameters(paramLabel = "DIR", description = "Folder with files *.yaml, merged in the order of their names.")
    private Path folder;

    @Override
    public Integer call() {
        ConfigResult result = ConfigLoader.load(folder);
        if (result instanceof ConfigResult.Invalid invalid) {
            ProblemReport report = ProblemReport.of(invalid);
            output.print(report, report::printText);
            return ExitCodes.PROBLEM;
        }
        FleetConfig config = ((ConfigResult.Valid) result).config();
        output.print(
                Map.of("valid", true, "entries", entryCounts(config)),
                out -> out.println("valid: " + entryCounts(config).toString().replaceAll("[{}]", "")));
        return ExitCodes.OK;
    }

    private static Map<String, Integer> entryCounts(FleetConfig config) {
        return new TreeMap<>(Map.of(
                "ranks", config.ranks().size(),
                "customers", config.customers().size(),
                "keys", config.keys().size(),
                "models", config.models().size(),
                "deployments", config.deployments().size(),
                "services", config.services().size()));
    }
}
