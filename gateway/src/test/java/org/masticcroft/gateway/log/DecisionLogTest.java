package org.masticcroft.gateway.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.ManualTimeSource;

class DecisionLogTest {
    private final ManualTimeSource time = ManualTimeSource.of(Instant.parse("2026-12-04T10:00:00Z"));

    @Test
    void writesTimeNumberAndFields() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        DecisionLog log = DecisionLog.start(time, new PrintStream(out));
        log.write(Event.CONFIG_APPLIED, "version", 7);
        log.close();
        assertThat(out.toString(StandardCharsets.UTF_8))
                .isEqualTo("2026-12-04T10:00:00Z E1100 CONFIG_APPLIED version=7\n");
    }

    // Guards against requests that block because nothing reads the standard output of the process.
    @Test
    @Timeout(10)
    void neverBlocksAndCountsDroppedLines() throws InterruptedException {
        CountDownLatch release = new CountDownLatch(1);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        OutputStream blocked = new OutputStream() {
            @Override
            public void write(int b) {
                await(release);
                out.write(b);
            }

            @Override
            public void write(byte[] bytes, int offset, int length) {
                await(release);
                out.write(bytes, offset, length);
            }
        };
        DecisionLog log = DecisionLog.start(time, new PrintStream(blocked), 10);
        for (int i = 0; i < 1000; i++) {
            log.write(Event.ROUTING_DECISION, "request", i);
        }
        assertThat(log.dropped()).isGreaterThanOrEqualTo(900);
        release.countDown();
        log.close();
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("E1006 LOG_LINES_DROPPED count=");
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            // close() interrupts the writer; the output is no longer blocked then.
            Thread.currentThread().interrupt();
        }
    }
}
