package org.masticcroft.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Parent of the commands for the audit account. */
@Command(
        name = "account",
        description = "Exports, verifies and summarises the audit account.",
        synopsisSubcommandLabel = "COMMAND",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:a problem was found",
            "2:the command line is not valid",
            "5:the platform is unavailable"
        },
        subcommands = {
            AccountExportCommand.class,
            AccountKeysCommand.class,
            AccountVerifyCommand.class,
            AccountReportCommand.class,
            AccountDueCommand.class,
            AccountNewKeyCommand.class
        })
final class AccountCommand implements Callable<Integer> {
    @Spec
    private CommandSpec command;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(command.commandLine(), "a command is missing");
    }
}
