package org.masticcroft.cli;

import java.io.PrintWriter;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import picocli.CommandLine;

/** Entry point of the {@code masticcroft} command line. */
public final class Main {
    private static final int HELP_WIDTH = 110;

    private Main() {}

    /** Runs the command line and exits with one of {@link ExitCodes}. */
    public static void main(String[] arguments) {
        System.exit(commandLine(CliContext.system()).execute(arguments));
    }

    /** Returns the command line with all commands. */
    public static CommandLine commandLine(CliContext context) {
        CommandLine line = new CommandLine(MasticcroftCommand.class, new CommandFactory(context));
        line.setDefaultValueProvider(new EnvironmentDefaults(context.environment()));
        line.setUsageHelpWidth(HELP_WIDTH);
        line.setCaseInsensitiveEnumValuesAllowed(true);
        line.setParameterExceptionHandler(Main::reportUsage);
        line.setExecutionExceptionHandler((failure, command, result) -> reportFailure(failure, command));
        return line;
    }

    private static int reportUsage(CommandLine.ParameterException failure, String[] arguments) {
        CommandLine command = failure.getCommandLine();
        PrintWriter err = command.getErr();
        err.println(failure.getMessage());
        CommandLine.UnmatchedArgumentException.printSuggestions(failure, err);
        err.println("See '" + command.getCommandSpec().qualifiedName() + " --help'.");
        err.flush();
        return ExitCodes.USAGE;
    }

    private static int reportFailure(Exception failure, CommandLine command) {
        ErrorCode code = failure instanceof MasticcroftException exception ? exception.code() : ErrorCode.INTERNAL;
        String reason = failure instanceof MasticcroftException ? failure.getMessage() : failure.toString();
        command.getErr().println(reason + " [" + code + "]");
        command.getErr().flush();
        return code == ErrorCode.INVALID_CONFIGURATION ? ExitCodes.PROBLEM : ExitCodes.UNAVAILABLE;
    }
}
