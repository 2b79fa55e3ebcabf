package org.masticcroft.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EventReaderTest {
    private static String read(EventReader reader, String text) {
        return reader.read(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII))
                .toString(StandardCharsets.US_ASCII);
    }

    @Nested
    class Events {
        // Guards against a caller that receives part of an event when the upstream fails in the middle of it.
        @Test
        void areReturnedOnlyWhenComplete() {
            EventReader reader = EventReader.after(0);
            assertThat(read(reader, "id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
            assertThat(reader.hasPartial()).isTrue();
            assertThat(read(reader, "ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
            assertThat(reader.hasPartial()).isFalse();
        }

        @Test
        void areReturnedWhenEachByteArrivesAlone() {
            EventReader reader = EventReader.after(0);
            StringBuilder returned = new StringBuilder();
            String text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
            for (char c : text.toCharArray()) {
                returned.append(read(reader, String.valueOf(c)));
            }
            assertThat(returned).hasToString(text);
        }
    }

    @Nested
    class AResumedStream {
        // Guards against duplicate events: the upstream that resumes a stream repeats one that the caller has.
        @Test
        void dropsEventsThatTheCallerHas() {
            EventReader reader = EventReader.after(0);
            read(reader, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
            reader = EventReader.after(reader.lastEventId());
            assertThat(read(reader, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n")).isEqualTo("id: 3\ndata: c\n\n");
            assertThat(reader.hasGap()).isFalse();
        }

        // Guards against a stream that looks complete to the caller although an event is missing.
        @Test
        void reportsAGap() {
            EventReader reader = EventReader.after(4);
            assertThat(read(reader, "id: 6\ndata: f\n\n")).isEmpty();
            assertThat(reader.hasGap()).isTrue();
        }

        /** Guards against events that are lost because they came together with a gap or with invalid bytes. */
        @ParameterizedTest
        @ValueSource(strings = {"id: 4\ndata: d\n\n", "id: x\ndata: c\n\n"})
        void keepsTheEventsBeforeAFault(String fault) {
            EventReader reader = EventReader.after(1);
            assertThat(read(reader, "id: 2\ndata: b\n\n" + fault + "id: 3\ndata: c\n\n"))
                    .isEqualTo("id: 2\ndata: b\n\n");
            assertThat(reader.lastEventId()).isEqualTo(2);
        }

        /** Guards against a response that fails because of a fault in the response before it. */
        @ParameterizedTest
        @ValueSource(strings = {"id: 4\ndata: d\n\n", "id: x\ndata: c\n\n"})
        void isReadAfterAFaultInTheEarlierResponse(String fault) {
            EventReader reader = EventReader.after(0);
            read(reader, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" + fault);
            reader = EventReader.after(reader.lastEventId());
            assertThat(read(reader, "id: 3\ndata: c\n\n")).isEqualTo("id: 3\ndata: c\n\n");
            assertThat(reader.hasGap()).isFalse();
            assertThat(reader.invalid()).isFalse();
        }
    }

    @Nested
    class BytesThatAreNoStream {
        /** Guards against memory that grows with an event that never ends. */
        @Test
        void areInvalidWhenAnEventHasNoEnd() {
            EventReader reader = EventReader.after(0);
            read(reader, "id: 1\ndata: " + "x".repeat(60_000));
            assertThat(reader.invalid()).isFalse();
            read(reader, "x".repeat(10_000));
            assertThat(reader.invalid()).isTrue();
        }

        /** Guards against a stalled stream that is kept alive by events that say nothing. */
        @Test
        void areInvalidWhenNoEventHasAnId() {
            EventReader reader = EventReader.after(0);
            read(reader, ":\n\n".repeat(64));
            assertThat(reader.invalid()).isFalse();
            read(reader, ":\n\n");
            assertThat(reader.invalid()).isTrue();
            assertThat(reader.lastEventId()).isZero();
        }

        /** Guards against the text of an error that is forwarded as an event because of its blank lines. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "failed\n\n",
                    "<html>\n\n",
                    "{\"error\": \"failed\"}\n\n",
                    "error: failed\n\n",
                    "HTTP/1.1 500 Internal Server Error\nContent-Length: 0\n\n",
                    "data: a\nfailed: b\n\n"
                })
        void areInvalidWhenTheyAreOtherText(String text) {
            EventReader reader = EventReader.after(1);
            assertThat(read(reader, text + "id: 2\ndata: b\n\n")).isEmpty();
            assertThat(reader.invalid()).isTrue();
            assertThat(reader.lastEventId()).isEqualTo(1);
        }

        /** Guards against a stream that is cut because it has comments or events without an id. */
        @Test
        void doNotIncludeCommentsAndEventsWithoutAnId() {
            String events = ": comment\n\nretry: 100\n\nevent: end\ndata: a\ndata\n\n";
            EventReader reader = EventReader.after(1);
            assertThat(read(reader, events)).isEqualTo(events);
            assertThat(reader.invalid()).isFalse();
        }

        /** Guards against an exception on an id that no long holds. */
        @Test
        void areInvalidWhenAnIdIsNoNumberOfEvents() {
            EventReader reader = EventReader.after(0);
            assertThat(read(reader, "id: " + "9".repeat(40) + "\ndata: a\n\n")).isEmpty();
            assertThat(reader.invalid()).isTrue();
        }
    }
}
