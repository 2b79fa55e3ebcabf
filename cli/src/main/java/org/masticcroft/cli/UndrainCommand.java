package org.masticcroft.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Removes an upstream from the published drained set, so that it receives new work again. */
@Command(
        name = "undrain",
        description = "Publishes that a drained upstream receives new work again.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:accepted: in force on every listed live instance",
            "1:no such upstream is known; nothing was published",
            "2:the command line or a setting is not valid",
            "3:committed, not yet in force everywhere; the missing instances are named",
            "4:another operator's update came first; nothing of this one takes effect",
            "5:the platform is unavailable, or the result is not known"
        })
final class UndrainCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private DrainedSetPublisher publisher;

    @Parameters(paramLabel = "UPSTREAM", description = "Name of the upstream, as the instance list has it.")
    private String upstream;

    UndrainCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() {
        return publisher.remove(context, upstream);
    }
}
