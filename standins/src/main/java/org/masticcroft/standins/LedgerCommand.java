package org.masticcroft.standins;

import java.util.concurrent.Callable;
import org.masticcroft.standins.ledger.LedgerStandIn;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

@Command(name = "ledger", description = "Collector of the ledger entries of all engines and services.")
final class LedgerCommand implements Callable<Integer> {
    @Mixin
    private ServerOptions server;

    @Override
    public Integer call() throws InterruptedException {
        return ServerOptions.run(LedgerStandIn.server(server.port(), server.faults(LedgerStandIn.FAULTS)));
    }
}
