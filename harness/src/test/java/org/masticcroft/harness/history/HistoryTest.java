package org.masticcroft.harness.history;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class HistoryTest {
    private static final String INVOKE = "{\"type\":\"invoke\",\"id\":\"a\",\"kind\":\"CHAT\"}";
    private static final String OUTCOME = "{\"type\":\"outcome\",\"id\":\"a\",\"status\":200}";

    /** Guards against fields that are lost between load driver and checker. */
    @Test
    void readsWhatWasWritten(@TempDir Path directory) {
        Path file = directory.resolve("history.jsonl");
        Invoke invoke = new Invoke(
                "a", 1, "h:1", "k", "live", Kind.ORDER, true, "POST", "/p", "t", "pr", "ph", "bh", "1.t", "z", 7, 3);
        Outcome outcome = new Outcome("a", 2, 200, "broken", "RAN", "C", "r", "w", "u", 4, "text", true, 1.5, 2.5);
        Mark mark = new Mark(3, Mark.CONFIG_ACCEPTED, "12");
        try (HistoryWriter writer = HistoryWriter.open(file)) {
            writer.write(invoke);
            writer.write(outcome);
        }
        try (HistoryWriter writer = HistoryWriter.open(file)) {
            writer.write(mark);
        }
        History history = History.read(file);
        assertThat(history.requests()).containsExactly(new Request(invoke, Optional.of(outcome)));
        assertThat(history.marks()).containsExactly(mark);
    }

    /** Guards against a run that cannot be checked because its load driver was killed while it wrote a line. */
    @Test
    void acceptsATruncatedLastLine() {
        History history = History.parse(List.of(INVOKE, OUTCOME.substring(0, 20)));
        assertThat(history.requests()).hasSize(1);
        assertThat(history.requests().get(0).outcome()).isEmpty();
    }

    /** Guards against damaged histories that pass the check because malformed lines are skipped. */
    @Test
    void rejectsDamagedLinesAndSecondOutcomes() {
        assertThatThrownBy(() -> History.parse(List.of("{", INVOKE))).hasMessageContaining("line 1");
        assertThatThrownBy(() -> History.parse(List.of(INVOKE, OUTCOME, OUTCOME, INVOKE)))
                .hasMessageContaining("line 3");
        assertThatThrownBy(() -> new Mark(1, Mark.CONFIG_ACCEPTED, "newest")).hasMessageContaining("version number");
    }
}
