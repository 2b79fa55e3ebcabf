package org.masticcroft.harness;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the command line, with one subcommand each for load, marks and checks. */
@Command(
        name = "harness",
        mixinStandardHelpOptions = true,
        subcommands = {LoadCommand.class, CheckCommand.class, MarkCommand.class},
        description = "Load driver and history checker for runs of real processes.")
public final class HarnessMain {
    /** Exit code of a command that failed; 1 is reserved for violations. */
    private static final int ERROR_EXIT_CODE = 2;

    private HarnessMain() {}

    /** Runs a subcommand and exits with its code. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new HarnessMain())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler((failure, command, parsed) -> {
                    command.getErr().println(command.getCommandName() + ": " + failure.getMessage());
                    return ERROR_EXIT_CODE;
                })
                .execute(args));
    }
}
