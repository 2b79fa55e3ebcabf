package org.masticcroft.kernel.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Collects configuration problems and finds the file that set the key of each. */
final class ProblemList {
    private final List<ConfigProblem> problems = new ArrayList<>();
    private Provenance provenance = Provenance.of(Map.of());

    void setProvenance(Provenance newProvenance) {
        this.provenance = newProvenance;
    }

    boolean isEmpty() {
        return problems.isEmpty();
    }

    List<ConfigProblem> sorted() {
        return problems.stream()
                .sorted(Comparator.comparing(ConfigProblem::file)
                        .thenComparing(ConfigProblem::key)
                        .thenComparing(ConfigProblem::code))
                .toList();
    }

    void add(ProblemCode code, String key, String reason) {
        problems.add(new ConfigProblem(code, fileOf(key), key, reason));
    }

    void addForFile(ProblemCode code, String file, String reason) {
        problems.add(new ConfigProblem(code, file, "", reason));
    }

    /** Returns the file that set the key or, if no file did, the file of the nearest enclosing map or list. */
    private String fileOf(String key) {
        String candidate = key;
        while (!candidate.isEmpty()) {
            if (provenance.file(candidate).isPresent()) {
                return provenance.file(candidate).get();
            }
            int parentEnd = Math.max(candidate.lastIndexOf('.'), candidate.lastIndexOf('['));
            candidate = parentEnd < 0 ? "" : candidate.substring(0, parentEnd);
        }
        return "";
    }
}
