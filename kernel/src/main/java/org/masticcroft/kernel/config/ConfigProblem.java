package org.masticcroft.kernel.config;

import java.util.Objects;

/**
 * A problem that makes a configuration folder invalid.
 *
 * @param code stable code of the kind of problem
 * @param file name of the file that the value came from; empty if the problem concerns the whole folder
 * @param key key in dotted form; empty if the problem concerns the whole file
 * @param reason description of the problem for the operator
 */
public record ConfigProblem(ProblemCode code, String file, String key, String reason) {
    public ConfigProblem {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(reason, "reason");
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        if (!file.isEmpty()) {
            text.append(file).append(": ");
        }
        if (!key.isEmpty()) {
            text.append(key).append(": ");
        }
        return text.append(reason).append(" [").append(code).append(']').toString();
    }
}
