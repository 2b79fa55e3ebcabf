package org.masticcroft.standins;

import java.util.Optional;
import java.util.concurrent.Callable;
import org.masticcroft.standins.engine.EngineSettings;
import org.masticcroft.standins.engine.EngineStandIn;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

@Command(name = "engine", description = "Model engine with deterministic answers.", showDefaultValues = true)
final class EngineCommand implements Callable<Integer> {
    /** Whether commands with an old fencing token are rejected. */
    enum Fencing {
        HONOURED,
        IGNORED
    }

    @Mixin
    private ServerOptions server;

    @Option(names = "--slots", defaultValue = "8", description = "requests in the batch")
    private int slots;

    @Option(names = "--queue", defaultValue = "8", description = "bound on requests that wait for a slot")
    private int queue;

    @Option(names = "--token-millis", defaultValue = "20", description = "time for one token")
    private long tokenMillis;

    @Option(
            names = "--batch-slowdown",
            defaultValue = "0",
            description = "fraction by which each other running request lengthens the time for a token")
    private double batchSlowdown;

    @Option(names = "--first-token-millis", defaultValue = "100", description = "time to the first token, uncached")
    private long firstTokenMillis;

    @Option(names = "--default-tokens", defaultValue = "16", description = "answer length without max_tokens")
    private int defaultTokens;

    @Option(names = "--report-lag-ms", defaultValue = "0", description = "lag of the load report")
    private long reportLagMillis;

    @Option(names = "--prefix-cache-blocks", defaultValue = "1024", description = "bound of the prefix cache")
    private int cacheBlocks;

    @Option(names = "--cache-event-lag-ms", defaultValue = "500", description = "delay of cache events")
    private long cacheEventLagMillis;

    @Option(names = "--cache-event-loss", defaultValue = "0.05", description = "probability that an event is lost")
    private double cacheEventLoss;

    @Option(
            names = "--weights-memory-bytes",
            defaultValue = "67108864",
            description = "memory for staged and loaded weights")
    private long memoryBytes;

    @Option(names = "--load-millis", defaultValue = "50", description = "time to load weights")
    private long loadMillis;

    @Option(names = "--fencing", defaultValue = "honoured", description = "${COMPLETION-CANDIDATES}")
    private Fencing fencing;

    @Option(
            names = "--verify-load",
            arity = "1",
            defaultValue = "true",
            description = "whether a load compares the staged chunks with the digests named")
    private boolean verifyLoad;

    @Option(names = "--crash-text", defaultValue = "", description = "text in a prompt that ends the process")
    private String crashText;

    @Option(names = "--crash-after-tokens", defaultValue = "0", description = "tokens produced before a crash")
    private int crashAfterTokens;

    @Option(names = "--ledger-url", description = "base URL of the ledger stand-in")
    private Optional<String> ledgerUrl = Optional.empty();

    @Override
    public Integer call() throws InterruptedException {
        EngineSettings settings = new EngineSettings(
                server.id("engine"),
                slots,
                queue,
                tokenMillis,
                batchSlowdown,
                firstTokenMillis,
                defaultTokens,
                reportLagMillis,
                cacheBlocks,
                cacheEventLagMillis,
                cacheEventLoss,
                memoryBytes,
                loadMillis,
                fencing == Fencing.HONOURED,
                verifyLoad,
                crashText,
                crashAfterTokens,
                ledgerUrl);
        return ServerOptions.run(
                EngineStandIn.server(server.port(), settings, server.faults(EngineStandIn.FAULTS), server.seed()));
    }
}
