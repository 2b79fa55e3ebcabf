package org.masticcroft.standins;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Runs one stand-in as its own process on 127.0.0.1. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        subcommands = {
            LogCommand.class,
            StoreCommand.class,
            InstancesCommand.class,
            EngineCommand.class,
            ServiceCommand.class,
            LedgerCommand.class,
            LinkCommand.class,
            DigestCommand.class,
            PortsCommand.class
        },
        description = "Test doubles of the platform and the upstreams.")
public final class StandInMain {
    private StandInMain() {}

    /** Runs a subcommand and exits with its code. */
    public static void main(String[] args) {
        configureHttpServer();
        System.exit(new CommandLine(new StandInMain())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .execute(args));
    }

    /** Sets properties that the JDK's HTTP server reads only once, when it is first used. */
    private static void configureHttpServer() {
        // Without this, Nagle's algorithm delays the parts of a streamed response by up to 40 ms.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        // Clients keep idle connections for minutes; the default of 30 s would close one while a request is being sent.
        System.setProperty("sun.net.httpserver.idleInterval", "3600");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "4000");
    }
}
