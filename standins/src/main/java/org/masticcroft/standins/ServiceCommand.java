package org.masticcroft.standins;

import java.util.Optional;
import java.util.concurrent.Callable;
import org.masticcroft.standins.service.ServiceStandIn;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

@Command(name = "service", description = "Plain service that records and echoes every call.")
final class ServiceCommand implements Callable<Integer> {
    @Mixin
    private ServerOptions server;

    @Option(names = "--delay-ms", defaultValue = "0", description = "time that one call takes")
    private long delayMillis;

    @Option(names = "--ledger-url", description = "base URL of the ledger stand-in")
    private Optional<String> ledgerUrl = Optional.empty();

    @Override
    public Integer call() throws InterruptedException {
        return ServerOptions.run(ServiceStandIn.server(
                server.port(), server.id("service"), delayMillis, ledgerUrl, server.faults(ServiceStandIn.FAULTS)));
    }
}
