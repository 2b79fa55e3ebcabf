package org.masticcroft.harness;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.masticcroft.harness.history.HistoryWriter;
import org.masticcroft.harness.json.Json;
import org.masticcroft.harness.load.CallerKey;
import org.masticcroft.harness.load.LoadDriver;
import org.masticcroft.harness.load.LoadSettings;
import org.masticcroft.harness.load.LoadSummary;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(name = "load", description = "Sends open-loop load to the entries.", showDefaultValues = true)
final class LoadCommand implements Callable<Integer> {
    @Option(names = "--entries", required = true, split = ",", description = "host:port of each entry")
    private List<String> entries = new ArrayList<>();

    @Option(names = "--deployment", required = true, description = "model name of chat completions")
    private String deployment;

    @Option(names = "--service", split = ",", description = "plain services; without any, only completions are sent")
    private List<String> services = new ArrayList<>();

    @Option(names = "--read-path", defaultValue = "/status", description = "path of GET calls within a service")
    private String readPath;

    @Option(names = "--order-path", defaultValue = "/orders", description = "path of POST calls within a service")
    private String orderPath;

    @Option(names = "--keys", required = true, split = ",", description = "key:rank or key:rank:weight of each caller")
    private List<String> keys = new ArrayList<>();

    @Option(names = "--rate", defaultValue = "20", description = "requests a second")
    private double rate;

    @Option(names = "--seconds", defaultValue = "10", description = "duration")
    private double seconds;

    @Option(names = "--seed", defaultValue = "1", description = "seed of the generator")
    private long seed;

    @Option(names = "--history", required = true, description = "history file to append to")
    private Path history;

    @Option(names = "--chat-share", defaultValue = "0.6", description = "fraction of completions")
    private double chatShare;

    @Option(names = "--stream-share", defaultValue = "0.5", description = "fraction of completions that are streamed")
    private double streamShare;

    @Option(names = "--order-share", defaultValue = "0.5", description = "fraction of service calls that are orders")
    private double orderShare;

    @Option(names = "--resend-share", defaultValue = "0.2", description = "fraction of orders that are sent twice")
    private double resendShare;

    @Option(
            names = "--resend-unknown",
            arity = "1",
            defaultValue = "true",
            description = "whether an order of unknown outcome is sent again to another entry")
    private boolean resendUnknown;

    @Option(names = "--prefixes", defaultValue = "8", description = "number of shared prompt prefixes")
    private int prefixes;

    @Option(names = "--prefix-characters", defaultValue = "512", description = "length of each prefix")
    private int prefixCharacters;

    @Option(names = "--min-tokens", defaultValue = "4", description = "shortest answer")
    private int minTokens;

    @Option(names = "--max-tokens", defaultValue = "24", description = "longest answer")
    private int maxTokens;

    @Option(names = "--timeout-ms", defaultValue = "15000", description = "after this time a caller gives up")
    private long timeoutMillis;

    @Option(names = "--output", defaultValue = "text", description = "${COMPLETION-CANDIDATES}")
    private Output output;

    @Override
    public Integer call() throws InterruptedException {
        // The start time makes request ids unique when several runs append to one history.
        String runId = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX) + "-" + seed;
        try (HistoryWriter writer = HistoryWriter.open(history)) {
            LoadSummary summary = LoadDriver.of(settings(), runId, writer).run();
            if (output == Output.JSON) {
                System.out.println(Json.line(summary.toJson()));
            } else {
                summary.lines().forEach(System.out::println);
            }
        }
        return 0;
    }

    private LoadSettings settings() {
        return new LoadSettings(
                entries,
                deployment,
                services,
                readPath,
                orderPath,
                keys.stream().map(CallerKey::parse).toList(),
                rate,
                Duration.ofMillis((long) (seconds * 1000)),
                seed,
                chatShare,
                streamShare,
                orderShare,
                resendShare,
                resendUnknown,
                prefixes,
                prefixCharacters,
                minTokens,
                maxTokens,
                Duration.ofMillis(timeoutMillis));
    }
}
