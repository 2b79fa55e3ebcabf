package org.masticcroft.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.masticcroft.account.key.VerificationKeys;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Mixin with the option {@code --keys}. */
public final class VerificationKeyOption {
    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    @Option(
            names = "--keys",
            paramLabel = "FILE",
            required = true,
            description = "Public keys, one a line, as 'masticcroft account new-key' prints them.")
    private Path file;

    /**
     * Reads the trusted public keys from the file.
     *
     * @throws CommandLine.ParameterException if the file cannot be read or has a malformed line
     */
    public VerificationKeys read() {
        try {
            return VerificationKeys.parse(Files.readString(file));
        } catch (IOException | IllegalArgumentException e) {
            throw new CommandLine.ParameterException(
                    command.commandLine(), "cannot read the keys in " + file + ": " + e.getMessage(), e);
        }
    }
}
