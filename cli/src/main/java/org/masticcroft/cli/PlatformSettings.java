package org.masticcroft.cli;

import java.net.URI;
import java.time.Duration;
import org.masticcroft.cli.fleet.Platform;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Mixin with the settings of commands that use the platform. */
public final class PlatformSettings {
    private static final String DEFAULT_LOG_URL = "http://127.0.0.1:7100";
    private static final String DEFAULT_INSTANCES_URL = "http://127.0.0.1:7110";
    private static final Duration MIN_PEER_TIMEOUT = Duration.ofMillis(10);
    private static final Duration MAX_PEER_TIMEOUT = Duration.ofMinutes(1);

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    @Option(
            names = "--log-url",
            paramLabel = "URL",
            defaultValue = DEFAULT_LOG_URL,
            description = "Log service, or store://HOST:PORT to read the account from the platform's store."
                    + " Variable MASTICCROFT_LOG_URL. Default: " + DEFAULT_LOG_URL + ".")
    private String logUrl;

    @Option(
            names = "--instances-url",
            paramLabel = "URL",
            defaultValue = DEFAULT_INSTANCES_URL,
            description = "Instance list. Variable MASTICCROFT_INSTANCES_URL. Default: " + DEFAULT_INSTANCES_URL + ".")
    private String instancesUrl;

    @Option(
            names = "--peer-timeout",
            paramLabel = "DURATION",
            defaultValue = "1s",
            description = "Time for an instance to answer. Variable MASTICCROFT_PEER_TIMEOUT. Default: 1s.")
    private String peerTimeout;

    /**
     * Validates the settings and opens the platform.
     *
     * @param validator validator that may hold problems of other settings of the command; all are reported together
     * @throws picocli.CommandLine.ParameterException if a setting is not valid
     */
    public Platform open(CliContext context, SettingValidator validator) {
        URI log = validator.logUrl("--log-url", logUrl);
        URI instances = validator.httpUrl("--instances-url", instancesUrl);
        Duration timeout = validator.duration("--peer-timeout", peerTimeout, MIN_PEER_TIMEOUT, MAX_PEER_TIMEOUT);
        validator.throwIfAny(command.commandLine());
        return context.platform().open(log, instances, timeout);
    }
}
