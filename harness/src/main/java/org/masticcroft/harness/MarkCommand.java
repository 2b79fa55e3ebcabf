package org.masticcroft.harness;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.masticcroft.harness.history.HistoryWriter;
import org.masticcroft.harness.history.Mark;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "mark",
        description = "Appends an event to a history. Kinds that the checker knows: leaving, returned, stop-begin, "
                + "stop-end, config-accepted (the name is the version), started, fault-begin, fault-end.")
final class MarkCommand implements Callable<Integer> {
    @Option(names = "--history", required = true, description = "history file")
    private Path history;

    @Option(names = "--kind", required = true, description = "kind of event")
    private String kind;

    @Option(names = "--name", defaultValue = "", description = "upstream, entry (host:port) or version")
    private String name;

    @Option(names = "--time-ms", defaultValue = "0", description = "time in epoch ms; now by default")
    private long timeMillis;

    @Override
    public Integer call() {
        try (HistoryWriter writer = HistoryWriter.open(history)) {
            writer.write(new Mark(timeMillis > 0 ? timeMillis : System.currentTimeMillis(), kind, name));
        }
        return 0;
    }
}
