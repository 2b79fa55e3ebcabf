package org.masticcroft.kernel.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Collects problems and finds the file of the key that each one concerns. */
final class ProblemList {
    private final List<ConfigProblem> problems = new ArrayList<>();
    private Provenance provenance = Provenance.of(Map.of());

    void provenance(Provenance newProvenance) {
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

    void addFile(ProblemCode code, String file, String reason) {
        problems.add(new ConfigProblem(code, file, "", reason));
    }

    /** Returns the file of the key or, for a key that no file sets, of the nearest map around it. */
    private String fileOf(String key) {
        String known = key;
        while (!known.isEmpty()) {
            if (provenance.file(known).isPresent()) {
                return provenance.file(known).get();
            }
            int end = Math.max(known.lastIndexOf('.'), known.lastIndexOf('['));
            known = end < 0 ? "" : known.substring(0, end);
        }
        return "";
    }
}
