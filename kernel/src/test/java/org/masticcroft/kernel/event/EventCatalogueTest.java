package org.masticcroft.kernel.event;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EventCatalogueTest {
    @Nested
    class Catalogue {
        /** Guards against an event that is added or changed without an update of {@code docs/EVENTS.md}. */
        @Test
        void listsExactlyTheEventsOfTheCode() throws IOException {
            List<String> expected = Arrays.stream(Event.values())
                    .map(event -> "| " + event.number() + " | `" + event.name() + "` | " + event.description() + " |")
                    .toList();
            List<String> documented = Files.readAllLines(Path.of("../docs/EVENTS.md")).stream()
                    .filter(line -> line.matches("\\| \\d+ .*"))
                    .toList();
            assertThat(documented).containsExactlyElementsOf(expected);
        }

        @Test
        void usesEachNumberOnce() {
            assertThat(Arrays.stream(Event.values()).map(Event::number)).doesNotHaveDuplicates();
        }
    }

    @Nested
    class Line {
        /** Guards against lines that a parser cannot split, because a value with spaces is not quoted. */
        @Test
        void quotesValuesWithSpaces() {
            assertThat(EventLine.format(Event.ROUTING_DECISION, "upstream", "e-1", "reason", "two words"))
                    .isEqualTo("E1200 ROUTING_DECISION upstream=e-1 reason=\"two words\"");
        }
    }
}
