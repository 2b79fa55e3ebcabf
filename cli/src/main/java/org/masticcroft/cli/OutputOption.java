package org.masticcroft.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.util.function.Consumer;
import org.masticcroft.kernel.config.ConfigJson;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Mixin with the option {@code --output}. A command prints its result once, as text or as JSON. */
public final class OutputOption {
    private static final ObjectWriter JSON = ConfigJson.mapper().writerWithDefaultPrettyPrinter();

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    @Option(
            names = "--output",
            paramLabel = "FORM",
            defaultValue = "text",
            description = "Form of the result: ${COMPLETION-CANDIDATES}. Variable MASTICCROFT_OUTPUT. Default: text.")
    private Format format;

    /** Format of the result on standard output. */
    public enum Format {
        text,
        json
    }

    /**
     * Prints the result.
     *
     * @param result the result, which Jackson can serialise
     * @param text prints the result as text
     */
    public void print(Object result, Consumer<PrintWriter> text) {
        PrintWriter out = command.commandLine().getOut();
        if (format == Format.json) {
            out.println(toJson(result));
        } else {
            text.accept(out);
        }
        out.flush();
    }

    /** Prints a line to standard error, so that standard output holds only the result. */
    public void printMessage(String line) {
        PrintWriter err = command.commandLine().getErr();
        err.println(line);
        err.flush();
    }

    private static String toJson(Object result) {
        try {
            return JSON.writeValueAsString(result);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
