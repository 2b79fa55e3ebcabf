package org.masticcroft.cli;

import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.masticcroft.cli.fleet.Platform;
import org.masticcroft.cli.publish.Publisher;
import org.masticcroft.kernel.config.ConfigLoader;
import org.masticcroft.kernel.config.ConfigResult;
import org.masticcroft.kernel.config.FleetConfig;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Validates a configuration folder, publishes it and waits for the fleet to confirm it. */
@Command(
        name = "publish",
        description = {
            "Publishes a configuration folder and waits until every listed live instance reports the new version.",
            "The set of drained upstreams stays as it is in force."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:accepted: in force on every listed live instance",
            "1:the folder has problems; nothing was published",
            "2:the command line or a setting is not valid",
            "3:committed, not yet in force everywhere; the missing instances are named",
            "4:another operator's update came first; nothing of this one takes effect",
            "5:the platform is unavailable, or the result is not known"
        })
final class PublishCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private OutputOption output;

    @Mixin
    private PlatformSettings settings;

    @Mixin
    private WaitSetting wait;

    @Mixin
    private AuthorSetting author;

    @Parameters(paramLabel = "DIR", description = "Folder with files *.yaml, merged in the order of their names.")
    private Path folder;

    PublishCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() {
        SettingValidator validator = new SettingValidator();
        Duration timeout = wait.timeout(validator);
        try (Platform platform = settings.open(context, validator)) {
            ConfigResult result = ConfigLoader.load(folder);
            if (result instanceof ConfigResult.Invalid invalid) {
                ProblemReport report = ProblemReport.of(invalid);
                output.print(report, report::printText);
                return ExitCodes.PROBLEM;
            }
            FleetConfig config = ((ConfigResult.Valid) result).config();
            return PublishReport.print(
                    output,
                    Publisher.of(platform, context.time(), context.sleeper(), output::printMessage)
                            .publish(author.author(), inForce -> config.withDrained(inForce.drained()), timeout));
        }
    }
}
