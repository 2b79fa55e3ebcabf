package org.masticcroft.gateway.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.time.TimeSource;

class RepeatingTaskTest {
    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
    private final DecisionLog log = DecisionLog.start(TimeSource.system(), new PrintStream(lines));
    private final EventLoop loop = new DefaultEventLoop();

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** Guards against a queue that is dispatched no more, or a report that is read no more, after one exception. */
    @Test
    void runsAgainAfterAFailure() throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(3);
        Runnable failing = () -> {
            runs.countDown();
            throw new IllegalStateException("odd");
        };
        RepeatingTask.of("test-task", failing, log).schedule(loop, 0, 10);

        assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
        log.close();
        assertThat(lines.toString(StandardCharsets.UTF_8)).contains("INTERNAL_ERROR component=test-task");
    }
}
