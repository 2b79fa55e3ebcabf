package org.masticcroft.gateway.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.time.TimeSource;

class DirectoryFollowerTest {
    private static final Duration MAX_WAIT = Duration.ofSeconds(2);

    private final TimeSource time = TimeSource.system();
    private final DecisionLog log = DecisionLog.start(time, new PrintStream(OutputStream.nullOutputStream()));
    private final EventLoop loop = new DefaultEventLoop();
    private final ChangingStore store = new ChangingStore();

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        log.close();
    }

    /** Pattern: every engine of a large fleet changes its state within seconds, as during a version change. */
    @Nested
    class AListThatChangesAllTheTime {
        /** Guards against a read of every entry for every change, which grows with the square of the fleet. */
        @Test
        void isReadOnceAnInterval() throws InterruptedException {
            DirectoryFollower follower = DirectoryFollower.of(
                    Directory.UPSTREAMS,
                    store,
                    loop,
                    time,
                    new DirectoryFollower.Timing(MAX_WAIT, Duration.ofMillis(200)),
                    new IgnoringListener(),
                    log);
            loop.execute(follower::start);
            TimeUnit.MILLISECONDS.sleep(1100);

            assertThat(store.reads.get()).isBetween(2, 7);
        }
    }

    /** Store that has a change for each read. */
    private static final class ChangingStore implements FleetStore {
        private final AtomicInteger reads = new AtomicInteger();

        @Override
        public void readAll(Directory directory, Consumer<DirectoryReply> reply) {
            reads.incrementAndGet();
            reply.accept(DirectoryReply.read(List.of(), 0));
        }

        @Override
        public void readFrom(Directory directory, long from, Duration wait, Consumer<DirectoryReply> reply) {
            reads.incrementAndGet();
            reply.accept(DirectoryReply.read(List.of(new FleetChange.UpstreamRemoved("e" + from)), from + 1));
        }

        @Override
        public void appendAccountRecord(String key, byte[] data, Consumer<Boolean> reply) {
            throw new UnsupportedOperationException("the test writes no account");
        }

        @Override
        public void readAccountRecords(Consumer<AccountRecords> reply) {
            throw new UnsupportedOperationException("the test reads no account");
        }
    }

    private static final class IgnoringListener implements DirectoryFollower.Listener {
        @Override
        public void snapshot(Directory directory, List<FleetChange> changes) {}

        @Override
        public void changed(Directory directory, List<FleetChange> changes) {}

        @Override
        public void confirmed(Directory directory, long nanos) {}
    }
}
