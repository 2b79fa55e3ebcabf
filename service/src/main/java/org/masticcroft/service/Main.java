package org.masticcroft.service;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of {@code masticcroftd}. */
@Command(
        name = "masticcroftd",
        mixinStandardHelpOptions = true,
        description = "Runs one process of masticcroft.",
        subcommands = {EntryCommand.class, SidecarCommand.class},
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:stopped after SIGTERM", "1:failed to start", "2:a setting is missing or wrong"})
public final class Main implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs the command line and exits with its code. */
    public static void main(String[] args) {
        int code = new CommandLine(new Main())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler((failure, command, result) -> {
                    command.getErr().println("masticcroftd: " + failure.getMessage());
                    return failure instanceof IllegalArgumentException ? 2 : 1;
                })
                .execute(args);
        System.exit(code);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "name a role: entry or sidecar");
    }
}
