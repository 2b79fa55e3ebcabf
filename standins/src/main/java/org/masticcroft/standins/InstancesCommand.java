package org.masticcroft.standins;

import java.util.concurrent.Callable;
import org.masticcroft.standins.instances.InstancesStandIn;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

@Command(name = "instances", description = "List of live and leaving instances.")
final class InstancesCommand implements Callable<Integer> {
    @Mixin
    private ServerOptions server;

    @Option(names = "--lag-ms", defaultValue = "0", description = "readers see a change after this time")
    private long lagMillis;

    @Override
    public Integer call() throws InterruptedException {
        return ServerOptions.run(InstancesStandIn.server(
                server.port(), lagMillis, System::currentTimeMillis, server.faults(InstancesStandIn.FAULTS)));
    }
}
