package org.masticcroft.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Adds an upstream to the published drained set, so that it receives no new work. */
@Command(
        name = "drain",
        description = "Publishes that an upstream receives no new work; its running work goes on.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:accepted: in force on every listed live instance",
            "1:no such upstream is known; nothing was published",
            "2:the command line or a setting is not valid",
            "3:committed, not yet in force everywhere; the missing instances are named",
            "4:another operator's update came first; nothing of this one takes effect",
            "5:the platform is unavailable, or the result is not known"
        })
final class DrainCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private DrainedSetPublisher publisher;

    @Option(names = "--force", description = "Publishes also if the instance list does not name the upstream.")
    private boolean force;

    @Parameters(paramLabel = "UPSTREAM", description = "Name of the upstream, as the instance list has it.")
    private String upstream;

    DrainCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() {
        return publisher.add(context, upstream, force);
    }
}
