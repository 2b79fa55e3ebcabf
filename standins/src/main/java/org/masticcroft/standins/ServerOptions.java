package org.masticcroft.standins;

import java.util.LinkedHashMap;
import java.util.Map;
import org.masticcroft.standins.fault.Faults;
import org.masticcroft.standins.http.StandInServer;
import picocli.CommandLine.Option;

/** Options that all servers share. */
final class ServerOptions {
    @Option(names = "--port", required = true, description = "port on 127.0.0.1; 0 takes any free one and prints it")
    private int port;

    @Option(names = "--id", defaultValue = "", description = "name in ledgers; <kind>-<port> by default")
    private String id;

    @Option(names = "--seed", defaultValue = "1", description = "seed for faults that occur with a probability")
    private long seed;

    @Option(names = "--fault", description = "fault switch at start, name=value; repeatable")
    private Map<String, String> faultTexts = new LinkedHashMap<>();

    int port() {
        return port;
    }

    long seed() {
        return seed;
    }

    String id(String kind) {
        return id.isEmpty() ? kind + "-" + port : id;
    }

    Faults faults(Map<String, Object> defaults) {
        Faults switches = Faults.of(defaults, seed);
        faultTexts.forEach(switches::set);
        return switches;
    }

    /** Starts the server, prints its port on a line of its own and blocks until the process is terminated. */
    static int run(StandInServer server) throws InterruptedException {
        server.start();
        System.out.println(server.port());
        System.out.flush();
        Thread.currentThread().join();
        return 0;
    }
}
