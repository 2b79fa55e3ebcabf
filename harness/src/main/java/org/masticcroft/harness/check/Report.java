package org.masticcroft.harness.check;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.masticcroft.harness.json.Json;

/** The findings of all invariants. */
public final class Report {
    private final Map<Invariant, Finding> findings;
    private final Evidence evidence;

    private Report(Map<Invariant, Finding> findings, Evidence evidence) {
        this.findings = findings;
        this.evidence = evidence;
    }

    /** Checks all invariants in the order of their numbers. */
    public static Report of(Evidence evidence) {
        Map<Invariant, Finding> findings = new LinkedHashMap<>();
        for (Invariant invariant : List.of(
                new ConsistentWeights(),
                new CompleteOwnResponse(),
                new TruthfulNotRun(),
                new AtMostOnce(),
                new NoWorkWhileLeaving(),
                new GracefulStop(),
                new ConfigInForce())) {
            findings.put(invariant, invariant.check(evidence));
        }
        return new Report(findings, evidence);
    }

    /** Returns the number of violations. */
    public int violationCount() {
        return findings.values().stream()
                .mapToInt(finding -> finding.violations().size())
                .sum();
    }

    /** Returns the lines of the report. An invariant that applied to no case is shown as not exercised. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add("requests: " + evidence.requests().size() + ", executions: "
                + evidence.executions().size());
        findings.forEach((invariant, finding) -> lines.add(invariant.number() + " " + invariant.title() + ": "
                + (finding.checked() == 0 ? "not exercised" : finding.checked() + " cases") + ", "
                + finding.violations().size() + " violations"));
        lines.add("violations: " + violationCount());
        for (Map.Entry<Invariant, Finding> entry : findings.entrySet()) {
            if (!entry.getValue().violations().isEmpty()) {
                Violation first = entry.getValue().violations().get(0);
                lines.add("first violation: invariant " + entry.getKey().number() + ": " + first.message());
                lines.addAll(ViolationTimeline.of(evidence, first).lines());
                break;
            }
        }
        return lines;
    }

    /** Returns the report as JSON, with at most {@code maxViolations} violations of each invariant. */
    public ObjectNode toJson(int maxViolations) {
        ObjectNode report = Json.object()
                .put("requests", evidence.requests().size())
                .put("executions", evidence.executions().size())
                .put("violations", violationCount());
        ArrayNode invariantNodes = report.putArray("invariants");
        findings.forEach((invariant, finding) -> {
            ObjectNode node = invariantNodes
                    .addObject()
                    .put("number", invariant.number())
                    .put("title", invariant.title())
                    .put("cases", finding.checked())
                    .put("violations", finding.violations().size());
            ArrayNode first = node.putArray("first");
            finding.violations().stream().limit(maxViolations).forEach(violation -> {
                ObjectNode violationNode = first.addObject().put("message", violation.message());
                ArrayNode timeline = violationNode.putArray("trail");
                ViolationTimeline.of(evidence, violation).lines().forEach(timeline::add);
            });
        });
        return report;
    }
}
