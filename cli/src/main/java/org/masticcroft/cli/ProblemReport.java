package org.masticcroft.cli;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.PrintWriter;
import java.util.List;
import org.masticcroft.kernel.config.ConfigProblem;
import org.masticcroft.kernel.config.ConfigResult;

/**
 * The problems of a configuration folder as a result of a command.
 *
 * @param valid always false
 * @param problems the problems
 */
record ProblemReport(
        @JsonProperty("valid") boolean valid,
        @JsonProperty("problems") List<ConfigProblem> problems) {

    static ProblemReport of(ConfigResult.Invalid invalid) {
        return new ProblemReport(false, invalid.problems());
    }

    void printText(PrintWriter out) {
        problems.forEach(out::println);
        out.println(problems.size() + (problems.size() == 1 ? " problem" : " problems"));
    }
}
