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

/** The option {@code --output}, for use as a mixin. A command prints its result once, in one of the forms. */
public final class OutputOption {
    private static final ObjectWriter JSON = ConfigJson.mapper().writerWithDefaultPrettyPrinter();

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    @Option(
            names = "--output",
            paramLabel = "FORM",
            defaultValue = "text",
            description = "Form of the result: ${COMPLETION-CANDIDATES}. Variable MASTICCROFT_OUTPUT. Default: text.")
    private Form form;

    /** Form of the output. */
    public enum Form {
        text,
        json
    }

    /**
     * Prints the result.
     *
     * @param result the result, which has a JSON form
     * @param text prints the text form
     */
    public void print(Object result, Consumer<PrintWriter> text) {
        PrintWriter out = command.commandLine().getOut();
        if (form == Form.json) {
            out.println(toJson(result));
        } else {
            text.accept(out);
        }
        out.flush();
    }

    /** Prints a progress line to standard error, so that standard output holds the result alone. */
    public void progress(String line) {
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
