package org.masticcroft.gateway.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
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
    void neverBlocksAndCountsDroppedLines() throws Exception {
        HeldOutput out = new HeldOutput();
        DecisionLog log = DecisionLog.start(time, new PrintStream(out), 10);
        for (int i = 0; i < 1000; i++) {
            log.write(Event.ROUTING_DECISION, "request", i);
        }
        out.release();
        log.close();
        out.awaitEndOfWriter();
        // The writer may have moved a part of the count into the batch that was held, so only the sum is certain.
        long reported = out.reported().stream().mapToLong(Long::longValue).sum();
        assertThat(reported).isGreaterThanOrEqualTo(900);
        assertThat(out.written() + reported).isEqualTo(1000);
        assertThat(log.dropped()).isZero();
    }

    // Guards against a count that is lost or reported twice because lines are dropped while a batch is written.
    @Test
    @Timeout(10)
    void countsWhatIsDroppedWhileABatchIsWritten() throws Exception {
        HeldOutput out = new HeldOutput();
        DecisionLog log = DecisionLog.start(time, new PrintStream(out), 10);
        log.write(Event.ROUTING_DECISION, "request", 0);
        out.awaitWriter();
        for (int i = 1; i < 1000; i++) {
            log.write(Event.ROUTING_DECISION, "request", i);
        }
        assertThat(log.dropped()).isEqualTo(989);
        out.release();
        log.close();
        out.awaitEndOfWriter();
        assertThat(out.written()).isEqualTo(11);
        assertThat(out.reported()).containsExactly(989L);
        assertThat(log.dropped()).isZero();
    }

    /** Output that nobody reads until it is released. */
    private static final class HeldOutput extends OutputStream {
        private static final Pattern REPORT = Pattern.compile("E1006 LOG_LINES_DROPPED count=(\\d+)$");

        private final ByteArrayOutputStream out = new ByteArrayOutputStream();
        private final CountDownLatch release = new CountDownLatch(1);
        private final CompletableFuture<Thread> writer = new CompletableFuture<>();

        @Override
        public void write(int b) {
            hold();
            out.write(b);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            hold();
            out.write(bytes, offset, length);
        }

        void release() {
            release.countDown();
        }

        /** Waits until the log's writer is held in this output; returns the writer. */
        Thread awaitWriter() throws InterruptedException, ExecutionException {
            return writer.get();
        }

        /** Waits for the last lines, for which closing the log waits only a limited time. */
        void awaitEndOfWriter() throws InterruptedException, ExecutionException {
            awaitWriter().join();
        }

        /** Returns the number of decisions that were written. */
        long written() {
            return lines().filter(line -> line.contains("ROUTING_DECISION")).count();
        }

        /** Returns the reported numbers of dropped lines. */
        List<Long> reported() {
            return lines().map(REPORT::matcher)
                    .filter(Matcher::find)
                    .map(report -> Long.valueOf(report.group(1)))
                    .toList();
        }

        private Stream<String> lines() {
            return out.toString(StandardCharsets.UTF_8).lines();
        }

        private void hold() {
            writer.complete(Thread.currentThread());
            try {
                release.await();
            } catch (InterruptedException e) {
                // The log interrupts its writer when it is closed; the output is released by then.
                Thread.currentThread().interrupt();
            }
        }
    }
}
