package org.masticcroft.cli;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.masticcroft.cli.fleet.FleetProbe;
import org.masticcroft.cli.fleet.FleetReport;
import org.masticcroft.cli.fleet.InstanceStatus;
import org.masticcroft.cli.fleet.Platform;
import org.masticcroft.cli.publish.ConfigStreamReader;
import org.masticcroft.cli.publish.ConfirmationPoller;
import org.masticcroft.kernel.config.ConfigState;
import org.masticcroft.kernel.error.MasticcroftException;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Shows the state of the fleet once, watches a rollout, or waits for a version. */
@Command(
        name = "status",
        description = {
            "Shows the listed instances with their configuration version, load, ready models and chunks held.",
            "An instance has confirmed its version if it read the log within the last 5 s."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:every live instance acts on the version in force, confirmed, and every engine is ready",
            "1:some live instance does not, or does not answer",
            "2:the command line or a setting is not valid",
            "3:with --wait-version: the version is not yet in force everywhere",
            "5:the log or the instance list is unavailable"
        })
final class StatusCommand implements Callable<Integer> {
    private static final Duration WATCH_INTERVAL = Duration.ofSeconds(1);

    private final CliContext context;

    @Mixin
    private OutputOption output;

    @Mixin
    private PlatformSettings settings;

    @Mixin
    private WaitSetting wait;

    @Spec
    private CommandSpec command;

    @ArgGroup
    private Mode mode = new Mode();

    StatusCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() {
        SettingValidator validator = new SettingValidator();
        Duration timeout = wait.timeout(validator);
        if (mode.version != null && mode.version < 1) {
            throw new ParameterException(command.commandLine(), "--wait-version must be at least 1");
        }
        try (Platform platform = settings.open(context, validator)) {
            if (mode.version != null) {
                return awaitVersion(platform, timeout);
            }
            return mode.watch ? watch(platform) : show(platform);
        }
    }

    private int awaitVersion(Platform platform, Duration timeout) {
        Optional<List<String>> missing = ConfirmationPoller.of(
                        FleetProbe.of(platform), context.time(), context.sleeper(), output::printMessage)
                .await(mode.version, timeout);
        if (missing.isEmpty()) {
            output.printMessage("the instance list cannot be read");
            return ExitCodes.UNAVAILABLE;
        }
        boolean inForce = missing.get().isEmpty();
        output.print(
                new WaitResult(mode.version, inForce, missing.get()),
                out -> out.println("version " + mode.version
                        + (inForce
                                ? " is in force on every listed live instance"
                                : " is not yet in force; missing: " + String.join(", ", missing.get()))));
        return inForce ? ExitCodes.OK : ExitCodes.NOT_YET_IN_FORCE;
    }

    private int show(Platform platform) {
        Optional<FleetReport> report = fetchReport(platform);
        report.ifPresent(fleet -> output.print(fleet, out -> FleetTable.print(out, fleet)));
        return exitCode(report);
    }

    /** Prints the progress at each interval until the rollout is complete, then the state of the fleet. */
    private int watch(Platform platform) {
        Optional<FleetReport> report = fetchReport(platform);
        while (!report.map(FleetReport::isComplete).orElse(false)) {
            output.printMessage(context.time().now() + " "
                    + report.map(FleetReport::summary).orElse("the instance list cannot be read"));
            context.sleeper().sleep(WATCH_INTERVAL);
            report = fetchReport(platform);
        }
        FleetReport complete = report.get();
        output.print(complete, out -> FleetTable.print(out, complete));
        return ExitCodes.OK;
    }

    private Optional<FleetReport> fetchReport(Platform platform) {
        Optional<List<InstanceStatus>> statuses = FleetProbe.of(platform).statuses();
        if (statuses.isEmpty()) {
            output.printMessage("the instance list cannot be read");
        }
        Optional<ConfigState> state = versionInForce(platform);
        return statuses.map(list -> FleetReport.of(state.orElse(ConfigState.empty()), state.isPresent(), list));
    }

    private Optional<ConfigState> versionInForce(Platform platform) {
        try {
            return ConfigStreamReader.of(platform).readToEnd();
        } catch (MasticcroftException e) {
            output.printMessage("the log cannot be read: " + e.getMessage());
            return Optional.empty();
        }
    }

    private static int exitCode(Optional<FleetReport> report) {
        if (report.isEmpty() || !report.get().versionKnown()) {
            return ExitCodes.UNAVAILABLE;
        }
        return report.get().isComplete() ? ExitCodes.OK : ExitCodes.PROBLEM;
    }

    private static final class Mode {
        @Option(names = "--watch", description = "Prints the progress every second until the rollout is complete.")
        private boolean watch;

        @Option(
                names = "--wait-version",
                paramLabel = "N",
                description = "Waits, as long as --wait says, until every listed live instance reports version N.")
        private Long version;
    }

    private record WaitResult(
            @JsonProperty("version") long version,
            @JsonProperty("in_force") boolean inForce,
            @JsonProperty("missing") List<String> missing) {}
}
