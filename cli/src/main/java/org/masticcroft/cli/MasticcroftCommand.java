package org.masticcroft.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** Root command. Each subcommand is a class of its own and is listed here. */
@Command(
        name = "masticcroft",
        description = "Operates a masticcroft fleet: publishes its configuration and shows its state.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            CheckCommand.class,
            ShowCommand.class,
            PublishCommand.class,
            StatusCommand.class,
            DrainCommand.class,
            UndrainCommand.class,
            HashKeyCommand.class,
            ExplainCommand.class,
            AccountCommand.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:accepted, or done",
            "1:a problem was found",
            "2:the command line or a setting is not valid",
            "3:committed, but not yet in force everywhere",
            "4:another operator's update came first; nothing of this one takes effect",
            "5:the platform is unavailable, or the result is not known"
        },
        footer = {
            "",
            "A setting is taken from its flag, then from its environment variable, then from its default.",
            "docs/CONFIGURATION.md describes all keys and settings."
        })
final class MasticcroftCommand implements Callable<Integer> {
    @Spec
    private CommandSpec command;

    @Option(
            names = {"-h", "--help"},
            usageHelp = true,
            scope = ScopeType.INHERIT,
            description = "Prints this help.")
    private boolean help;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(command.commandLine(), "a command is missing");
    }
}
