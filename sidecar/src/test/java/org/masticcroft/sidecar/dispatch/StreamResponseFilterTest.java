package org.masticcroft.sidecar.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.NotEmpty;
import org.masticcroft.sidecar.FakeEngine;

class StreamAnswerTest {
    private static final String DIGEST = "sha256:" + "b".repeat(64);

    /** Guards against events that are lost or changed when the network splits them, also within a character. */
    @Property(tries = 300)
    void passesOnTheSameBytesHoweverTheyAreSplit(@ForAll @NotEmpty List<@IntRange(min = 1, max = 90) Integer> lengths) {
        String text = "data: {\"choices\":[{\"delta\":{\"content\":\"kaai \u2014 \u00e9\"}}]}\r\n\r\n: comment\n\n"
                + FakeEngine.wholeStream(DIGEST);
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        StreamAnswer answer = new StreamAnswer(DIGEST);
        ByteArrayOutputStream passedOn = new ByteArrayOutputStream();
        int at = 0;
        for (int i = 0; at < bytes.length; i++) {
            int length = Math.min(lengths.get(i % lengths.size()), bytes.length - at);
            answer.accept(Arrays.copyOfRange(bytes, at, at + length), length, passedOn);
            at += length;
        }
        answer.end(passedOn);
        assertThat(passedOn.toByteArray()).isEqualTo(bytes);
        assertThat(answer.usage()).isEqualTo(new Answer.Usage(3, 2));
    }
}
