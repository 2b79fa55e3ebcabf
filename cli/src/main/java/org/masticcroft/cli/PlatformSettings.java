package org.masticcroft.cli;

import java.net.URI;
import java.time.Duration;
import org.masticcroft.cli.fleet.Platform;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The settings of commands that use the platform, for use as a mixin. */
public final class PlatformSettings {
    private static final Duration SHORTEST_PEER_TIMEOUT = Duration.ofMillis(10);
    private static final Duration LONGEST_PEER_TIMEOUT = Duration.ofMinutes(1);

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    @Option(
            names = "--log-url",
            paramLabel = "URL",
            defaultValue = "http://127.0.0.1:7100",
            description = "Log service. Variable MASTICCROFT_LOG_URL. Default: ${DEFAULT-VALUE}.")
    private String logUrl;

    @Option(
            names = "--instances-url",
            paramLabel = "URL",
            defaultValue = "http://127.0.0.1:7110",
            description = "Instance list. Variable MASTICCROFT_INSTANCES_URL. Default: ${DEFAULT-VALUE}.")
    private String instancesUrl;

    @Option(
            names = "--peer-timeout",
            paramLabel = "DURATION",
            defaultValue = "1s",
            description = "Time for an instance to answer. Variable MASTICCROFT_PEER_TIMEOUT. Default: 1s.")
    private String peerTimeout;

    /**
     * Checks the settings and opens the platform.
     *
     * @throws picocli.CommandLine.ParameterException if a setting is not valid
     */
    public Platform open(CliContext context) {
        SettingProblems problems = new SettingProblems();
        URI log = problems.url("--log-url", logUrl);
        URI instances = problems.url("--instances-url", instancesUrl);
        Duration timeout =
                problems.duration("--peer-timeout", peerTimeout, SHORTEST_PEER_TIMEOUT, LONGEST_PEER_TIMEOUT);
        problems.throwIfAny(command.commandLine());
        return context.platform().open(log, instances, timeout);
    }
}
