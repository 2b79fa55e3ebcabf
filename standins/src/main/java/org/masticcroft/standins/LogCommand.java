package org.masticcroft.standins;

import java.time.Duration;
import java.util.concurrent.Callable;
import org.masticcroft.standins.log.LogStandIn;
import org.masticcroft.standins.log.LogStreams;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

@Command(name = "log", description = "Append-only log service, in memory.")
final class LogCommand implements Callable<Integer> {
    @Mixin
    private ServerOptions server;

    @Option(names = "--appends-per-second", defaultValue = "300", description = "limit for all streams together")
    private long appendsPerSecond;

    @Option(names = "--retention-seconds", defaultValue = "3600", description = "records older than this are dropped")
    private long retentionSeconds;

    @Override
    public Integer call() throws InterruptedException {
        LogStreams streams =
                LogStreams.of(appendsPerSecond, Duration.ofSeconds(retentionSeconds), System::currentTimeMillis);
        return ServerOptions.run(LogStandIn.server(server.port(), streams, server.faults(LogStandIn.FAULTS)));
    }
}
