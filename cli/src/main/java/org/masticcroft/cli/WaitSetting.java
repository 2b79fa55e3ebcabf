package org.masticcroft.cli;

import java.time.Duration;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The setting {@code --wait}, for use as a mixin. */
public final class WaitSetting {
    private static final Duration LONGEST = Duration.ofMinutes(60);

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    @Option(
            names = "--wait",
            paramLabel = "DURATION",
            defaultValue = "8s",
            description = "Time for all instances to confirm a version. Variable MASTICCROFT_WAIT. Default: 8s.")
    private String wait;

    /**
     * Returns the time to wait.
     *
     * @throws picocli.CommandLine.ParameterException if the setting is not valid
     */
    public Duration duration() {
        SettingProblems problems = new SettingProblems();
        Duration duration = problems.duration("--wait", wait, Duration.ZERO, LONGEST);
        problems.throwIfAny(command.commandLine());
        return duration;
    }
}
