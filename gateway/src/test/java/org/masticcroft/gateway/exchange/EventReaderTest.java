package org.masticcroft.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EventReaderTest {
    private static String read(EventReader reader, String text) {
        return reader.read(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII))
                .toString(StandardCharsets.US_ASCII);
    }

    @Nested
    class WholeEvents {
        // Guards against half an event reaching a caller when the upstream breaks off.
        @Test
        void passOnlyOnceTheyAreComplete() {
            EventReader reader = EventReader.after(0);
            assertThat(read(reader, "id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
            assertThat(reader.partial()).isTrue();
            assertThat(read(reader, "ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
            assertThat(reader.partial()).isFalse();
        }

        @Test
        void passWhenEachByteArrivesAlone() {
            EventReader reader = EventReader.after(0);
            StringBuilder passed = new StringBuilder();
            String text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
            for (char c : text.toCharArray()) {
                passed.append(read(reader, String.valueOf(c)));
            }
            assertThat(passed).hasToString(text);
        }
    }

    @Nested
    class AContinuedStream {
        // Guards against an event that comes twice after another upstream took the stream over.
        @Test
        void dropsEventsThatTheCallerHas() {
            EventReader reader = EventReader.after(0);
            read(reader, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
            reader.restart();
            assertThat(read(reader, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n")).isEqualTo("id: 3\ndata: c\n\n");
            assertThat(reader.gap()).isFalse();
        }

        // Guards against a stream that looks complete although an event is missing.
        @Test
        void reportsAGap() {
            EventReader reader = EventReader.after(4);
            assertThat(read(reader, "id: 6\ndata: f\n\n")).isEmpty();
            assertThat(reader.gap()).isTrue();
        }
    }
}
