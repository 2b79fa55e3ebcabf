package org.masticcroft.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(name = "ports", description = "Prints free port numbers, one a line.")
final class PortsCommand implements Callable<Integer> {
    @Parameters(paramLabel = "N", description = "how many")
    private int count;

    @Override
    public Integer call() throws IOException {
        // All sockets stay open until the last one is bound, so that no port is printed twice.
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getByAddress(new byte[] {127, 0, 0, 1})));
            }
            sockets.forEach(socket -> System.out.println(socket.getLocalPort()));
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
        return 0;
    }
}
