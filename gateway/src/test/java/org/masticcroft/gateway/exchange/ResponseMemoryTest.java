package org.masticcroft.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Pattern: an upstream sends bytes without end in the responses to many requests at once. */
class ResponseMemoryTest {
    private static final int LIMIT_BYTES = 1000;

    private final ResponseMemory memory = ResponseMemory.ofBytes(LIMIT_BYTES);
    private final List<String> givenUp = new ArrayList<>();

    private ResponseMemory.Buffer buffer(String name) {
        return memory.newBuffer(() -> givenUp.add(name));
    }

    private static void add(ResponseMemory.Buffer buffer, int bytes) {
        buffer.add(Unpooled.wrappedBuffer(new byte[bytes]));
    }

    @Nested
    class AboveTheLimit {
        /** Guards against sound responses that are given up because others have no end. */
        @Test
        void theLongestResponseIsGivenUp() {
            ResponseMemory.Buffer endless = buffer("endless");
            ResponseMemory.Buffer sound = buffer("sound");
            add(endless, 900);
            add(sound, 200);

            assertThat(givenUp).containsExactly("endless");
            assertThat(sound.take().readableBytes()).isEqualTo(200);
        }

        /** Guards against memory that a response occupies after it was given up. */
        @Test
        void theResponseGivenUpAddsNothingMore() {
            ResponseMemory.Buffer endless = buffer("endless");
            add(endless, 1001);
            add(endless, 500);

            assertThat(givenUp).containsExactly("endless");
            assertThat(memory.usedBytes()).isZero();
        }
    }

    @Nested
    class BelowTheLimit {
        /** Guards against memory that still counts as used after the responses were forwarded. */
        @Test
        void responsesFreeTheirMemoryWhenTheyEnd() {
            for (int i = 0; i < 10; i++) {
                ResponseMemory.Buffer buffer = buffer("response");
                add(buffer, 900);
                assertThat(buffer.take().readableBytes()).isEqualTo(900);
                buffer.close();
            }

            assertThat(givenUp).isEmpty();
            assertThat(memory.usedBytes()).isZero();
        }
    }
}
