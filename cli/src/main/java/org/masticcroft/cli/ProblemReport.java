package org.masticcroft.cli;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.PrintWriter;
import java.util.List;
import org.masticcroft.kernel.config.ConfigProblem;
import org.masticcroft.kernel.config.ConfigResult;

/**
 * Result of a command whose configuration folder is not valid.
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
