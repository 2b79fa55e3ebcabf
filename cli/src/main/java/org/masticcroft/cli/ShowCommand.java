package org.masticcroft.cli;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.concurrent.Callable;
import org.masticcroft.cli.fleet.FleetProbe;
import org.masticcroft.cli.fleet.Platform;
import org.masticcroft.cli.publish.ConfigStreamReader;
import org.masticcroft.kernel.config.ConfigLoader;
import org.masticcroft.kernel.config.ConfigResult;
import org.masticcroft.kernel.config.ConfigState;
import org.masticcroft.kernel.config.FleetConfig;
import org.masticcroft.kernel.config.Provenance;
import org.masticcroft.kernel.error.MasticcroftException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Shows the merged configuration of a folder, or the configuration in force. */
@Command(
        name = "show",
        description = {
            "Shows the merged configuration of a folder and the file that each value came from.",
            "Without a folder, shows the version in force: from the log or, while the log is down, from an instance."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:shown",
            "1:the folder has problems",
            "2:the command line or a setting is not valid",
            "5:neither the log nor an instance tells the version in force"
        })
final class ShowCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private OutputOption output;

    @Mixin
    private PlatformSettings settings;

    @Parameters(arity = "0..1", paramLabel = "DIR", description = "Folder with files *.yaml.")
    private Path folder;

    ShowCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() {
        return folder == null ? showInForce() : showFolder();
    }

    private int showFolder() {
        ConfigResult result = ConfigLoader.load(folder);
        if (result instanceof ConfigResult.Invalid invalid) {
            ProblemReport report = ProblemReport.of(invalid);
            output.print(report, report::printText);
            return ExitCodes.PROBLEM;
        }
        ConfigResult.Valid valid = (ConfigResult.Valid) result;
        output.print(
                new FolderView(valid.config(), valid.provenance().files()),
                out -> printWithSourceFiles(out, FlatConfig.of(valid.config()), valid.provenance()));
        return ExitCodes.OK;
    }

    private static void printWithSourceFiles(PrintWriter out, SortedMap<String, String> values, Provenance provenance) {
        values.forEach((key, value) ->
                out.println(key + " = " + value + "  # " + provenance.file(key).orElse("default")));
    }

    private int showInForce() {
        try (Platform platform = settings.open(context, new SettingValidator())) {
            Optional<ConfigState> inForce = fromLog(platform).or(() -> fromInstances(platform));
            if (inForce.isEmpty()) {
                output.printMessage("neither the log nor an instance tells the version in force");
                return ExitCodes.UNAVAILABLE;
            }
            ConfigState state = inForce.get();
            output.print(new VersionView(state.version(), state.config()), out -> {
                out.println("version = " + state.version());
                FlatConfig.of(state.config()).forEach((key, value) -> out.println(key + " = " + value));
            });
            return ExitCodes.OK;
        }
    }

    private Optional<ConfigState> fromLog(Platform platform) {
        try {
            return ConfigStreamReader.of(platform).readToEnd();
        } catch (MasticcroftException e) {
            output.printMessage("the log cannot be read (" + e.getMessage() + "); asking instances, unconfirmed");
            return Optional.empty();
        }
    }

    private static Optional<ConfigState> fromInstances(Platform platform) {
        return FleetProbe.of(platform)
                .newestSnapshot()
                .map(snapshot -> new ConfigState(snapshot.version(), snapshot.config(), snapshot.foldedThrough()));
    }

    private record FolderView(
            @JsonProperty("config") FleetConfig config,
            @JsonProperty("files") Map<String, String> files) {}

    private record VersionView(
            @JsonProperty("version") long version,
            @JsonProperty("config") FleetConfig config) {}
}
