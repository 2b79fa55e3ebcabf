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

class StreamResponseFilterTest {
    private static final String DIGEST = "sha256:" + "b".repeat(64);

    /** Guards against events that are lost or altered when the network splits them, even within a character. */
    @Property(tries = 300)
    void forwardsSameBytesForAnySplit(@ForAll @NotEmpty List<@IntRange(min = 1, max = 90) Integer> lengths) {
        String text = "data: {\"choices\":[{\"delta\":{\"content\":\"kaai \u2014 \u00e9\"}}]}\r\n\r\n: comment\n\n"
                + FakeEngine.completeStream(DIGEST);
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        StreamResponseFilter filter = new StreamResponseFilter(DIGEST);
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        int offset = 0;
        for (int i = 0; offset < bytes.length; i++) {
            int length = Math.min(lengths.get(i % lengths.size()), bytes.length - offset);
            filter.accept(Arrays.copyOfRange(bytes, offset, offset + length), length, output);
            offset += length;
        }
        filter.end(output);
        assertThat(output.toByteArray()).isEqualTo(bytes);
        assertThat(filter.usage()).isEqualTo(new ResponseFilter.Usage(3, 2));
    }
}
