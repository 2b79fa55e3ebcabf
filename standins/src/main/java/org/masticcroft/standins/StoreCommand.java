package org.masticcroft.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.masticcroft.standins.store.GeneratedWeights;
import org.masticcroft.standins.store.StoreStandIn;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

@Command(name = "store", description = "Weight store or origin with generated weights.")
final class StoreCommand implements Callable<Integer> {
    @Mixin
    private ServerOptions server;

    @Mixin
    private ModelOptions models;

    @Option(
            names = "--bytes-per-second",
            defaultValue = "0",
            description = "rate of all downloads together; 0: no limit")
    private long bytesPerSecond;

    @Override
    public Integer call() throws InterruptedException {
        return ServerOptions.run(StoreStandIn.server(
                server.port(), models.weights(), bytesPerSecond, server.faults(StoreStandIn.FAULTS)));
    }

    /** The generated models to serve or to describe. */
    static final class ModelOptions {
        @Option(names = "--model", required = true, description = "name:version:sizeBytes:seed; repeatable")
        private List<String> models = new ArrayList<>();

        @Option(names = "--chunk-bytes", defaultValue = "1048576", description = "size of a chunk in bytes")
        private int chunkBytes;

        List<GeneratedWeights> weights() {
            return models.stream()
                    .map(text -> GeneratedWeights.parse(text, chunkBytes))
                    .toList();
        }
    }
}
