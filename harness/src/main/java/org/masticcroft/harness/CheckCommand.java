package org.masticcroft.harness;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.masticcroft.harness.check.Evidence;
import org.masticcroft.harness.check.Report;
import org.masticcroft.harness.history.History;
import org.masticcroft.harness.json.Json;
import org.masticcroft.harness.ledger.LedgerReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "check",
        description = "Checks the invariants against a history and the ledgers; exit code 1 on violations.")
final class CheckCommand implements Callable<Integer> {
    /** Maximum number of violations of each invariant in JSON output. */
    private static final int MAX_JSON_VIOLATIONS = 5;

    @Option(names = "--history", required = true, description = "history file")
    private Path history;

    @Option(names = "--ledger", description = "file or URL of ledger entries; repeatable")
    private List<String> ledgers = new ArrayList<>();

    @Option(names = "--output", defaultValue = "text", description = "${COMPLETION-CANDIDATES}")
    private Output output;

    @Override
    public Integer call() throws InterruptedException {
        Report report = Report.of(Evidence.of(History.read(history), LedgerReader.read(ledgers)));
        if (output == Output.JSON) {
            System.out.println(Json.line(report.toJson(MAX_JSON_VIOLATIONS)));
        } else {
            report.lines().forEach(System.out::println);
        }
        return report.violationCount() == 0 ? 0 : 1;
    }
}
