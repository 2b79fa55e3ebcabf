package org.masticcroft.service.setting;

import java.net.URI;
import java.time.Duration;
import picocli.CommandLine.Option;

/** Settings that both roles share. A flag overrides its environment variable, which overrides the default. */
public final class CommonOptions {
    @Option(
            names = "--instance",
            required = true,
            defaultValue = "${env:MASTICCROFT_INSTANCE}",
            description = "Instance id, as in the instance list. Variable: MASTICCROFT_INSTANCE.")
    private String instance;

    @Option(
            names = "--region",
            required = true,
            defaultValue = "${env:MASTICCROFT_REGION}",
            description = "Region of this instance. Variable: MASTICCROFT_REGION.")
    private String region;

    @Option(
            names = "--data-centre",
            required = true,
            defaultValue = "${env:MASTICCROFT_DATA_CENTRE}",
            description = "Data centre of this instance. Variable: MASTICCROFT_DATA_CENTRE.")
    private String dataCentre;

    @Option(
            names = "--bind",
            defaultValue = "${env:MASTICCROFT_BIND:-127.0.0.1}",
            description = "IP address to listen on. Variable: MASTICCROFT_BIND. Default: 127.0.0.1.")
    private String bind;

    @Option(
            names = "--peer-port",
            required = true,
            defaultValue = "${env:MASTICCROFT_PEER_PORT}",
            converter = Port.class,
            description = "Port of the peer protocol. Variable: MASTICCROFT_PEER_PORT.")
    private int peerPort;

    @Option(
            names = "--admin-port",
            required = true,
            defaultValue = "${env:MASTICCROFT_ADMIN_PORT}",
            converter = Port.class,
            description = "Port for metrics and health checks. Variable: MASTICCROFT_ADMIN_PORT.")
    private int adminPort;

    @Option(
            names = "--log-url",
            required = true,
            defaultValue = "${env:MASTICCROFT_LOG_URL}",
            converter = HttpUrl.class,
            description = "Base URL of the log service. Variable: MASTICCROFT_LOG_URL.")
    private URI logUrl;

    @Option(
            names = "--log-retention",
            defaultValue = "${env:MASTICCROFT_LOG_RETENTION:-604800}",
            converter = Seconds.class,
            description = "Time for which the log keeps records, in seconds. Variable: MASTICCROFT_LOG_RETENTION."
                    + " Default: 604800 (a week).")
    private Duration logRetention;

    @Option(
            names = "--instances-url",
            required = true,
            defaultValue = "${env:MASTICCROFT_INSTANCES_URL}",
            converter = HttpUrl.class,
            description = "Base URL of the instance list. Variable: MASTICCROFT_INSTANCES_URL.")
    private URI instancesUrl;

    @Option(
            names = "--account-key",
            required = true,
            defaultValue = "${env:MASTICCROFT_ACCOUNT_KEY}",
            description = "Signing key of the account, as 'masticcroft account new-key' prints it."
                    + " Prefer the variable MASTICCROFT_ACCOUNT_KEY: arguments are visible to other users.")
    private String accountKey;

    @Option(
            names = "--account-flush",
            defaultValue = "${env:MASTICCROFT_ACCOUNT_FLUSH}",
            converter = Seconds.class,
            description =
                    "Time between two appends to the account in a small fleet, in seconds; large fleets stretch it."
                            + " Variable: MASTICCROFT_ACCOUNT_FLUSH. Default: 1 for an entry, 5 for a sidecar.")
    private Duration accountFlush;

    @Option(
            names = "--drain-deadline",
            defaultValue = "${env:MASTICCROFT_DRAIN_DEADLINE:-60}",
            converter = Seconds.class,
            description = "Longest time for a graceful stop, in seconds. Variable: MASTICCROFT_DRAIN_DEADLINE."
                    + " Default: 60.")
    private Duration drainDeadline;

    public String instance() {
        return instance;
    }

    public String region() {
        return region;
    }

    public String dataCentre() {
        return dataCentre;
    }

    public String bind() {
        return bind;
    }

    public int peerPort() {
        return peerPort;
    }

    public int adminPort() {
        return adminPort;
    }

    public URI logUrl() {
        return logUrl;
    }

    public Duration logRetention() {
        return logRetention;
    }

    public URI instancesUrl() {
        return instancesUrl;
    }

    public String accountKey() {
        return accountKey;
    }

    /** Returns the flush interval of the account, or {@code fallback} if it is not set. */
    public Duration accountFlushOr(Duration fallback) {
        return accountFlush == null ? fallback : accountFlush;
    }

    public Duration drainDeadline() {
        return drainDeadline;
    }
}
