package org.masticcroft.standins;

import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import org.masticcroft.standins.fault.Faults;
import org.masticcroft.standins.http.StandInServer;
import org.masticcroft.standins.link.LinkStandIn;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

@Command(
        name = "link",
        description =
                "TCP forwarder with delay, limited rate and a cut switch; --port is the port of its control server.")
final class LinkCommand implements Callable<Integer> {
    @Mixin
    private ServerOptions server;

    @Option(
            names = "--listen",
            required = true,
            description = "port to forward from; 0 takes any free one and prints it")
    private int listen;

    @Option(names = "--target", required = true, description = "host:port to forward to")
    private String target;

    @Option(names = "--delay-ms", defaultValue = "0", description = "one-way delay in each direction")
    private long delayMillis;

    @Option(names = "--bytes-per-second", defaultValue = "0", description = "rate in each direction; 0: no limit")
    private long bytesPerSecond;

    @Override
    public Integer call() throws InterruptedException {
        int colon = target.lastIndexOf(':');
        InetSocketAddress address =
                new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
        Faults faults = server.faults(LinkStandIn.FAULTS);
        LinkStandIn link = LinkStandIn.of(address, delayMillis, bytesPerSecond, faults);
        System.out.println(link.listen(listen));
        return ServerOptions.run(StandInServer.of(server.port(), faults, link::stats));
    }
}
