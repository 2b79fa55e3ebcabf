package org.masticcroft.gateway.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.config.EngineProfile;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.http.CallerRequest;
import org.masticcroft.gateway.load.LoadReport;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.time.ManualTimeSource;

class EngineMemoryTest {
    private static final long CAPACITY = 100_000;
    private static final Address ADDRESS = new Address("10.0.0.1", 80);
    private static final Optional<EngineProfile> PROFILE =
            Optional.of(new EngineProfile("m", 5, 9, 0.04, 19, CAPACITY));

    private final ManualTimeSource time = ManualTimeSource.of(Instant.EPOCH);
    private final DecisionLog log = DecisionLog.start(time, new PrintStream(OutputStream.nullOutputStream()));
    private final UpstreamTable table = UpstreamTable.of(log);
    private final EngineMemory rule = EngineMemory.of(service -> PROFILE, log);
    private final Upstream engine = list("e", ADDRESS);

    private Upstream list(String id, Address address) {
        table.put(new UpstreamListing(id, "s", address, "z1", 12, false, 1, 1, OptionalLong.of(1)), 0);
        return table.listed().stream()
                .filter(upstream -> upstream.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    @AfterEach
    void closeLog() {
        log.close();
    }

    private void report(double memoryUsed) {
        table.applyReport(
                ADDRESS, new LoadReport(1, 0, 0, false, false, OptionalLong.of(1), 1, 20, memoryUsed), time.nanoTime());
    }

    private FakeRequest request(int memoryTokens) {
        FakeRequest request =
                new FakeRequest("r", new Rank(1, 0), time.nanoTime(), Duration.ofMillis(400), Duration.ofSeconds(6));
        request.memoryTokens = memoryTokens;
        return request;
    }

    private PlacementDecision check(int memoryTokens) {
        return rule.check(request(memoryTokens), engine, time.nanoTime());
    }

    @Nested
    class ARequest {
        /** Guards against a crash of an engine by what this entry sends. */
        @Test
        void waitsWhileTheOwnRequestsFillTheMemory() {
            engine.addMemoryTokens(80_000, 70_000);
            assertThat(check(5000)).isEqualTo(PlacementDecision.ALLOWED);
            assertThat(check(5001)).isEqualTo(PlacementDecision.MEMORY_FULL);
            engine.addMemoryTokens(-80_000, -70_000);
            assertThat(check(80_000)).isEqualTo(PlacementDecision.ALLOWED);
        }

        /** Guards against a crash by the sum of several entries, and against counting the own prompts twice. */
        @Test
        void waitsWhileTheReportedRequestsOfOthersFillTheMemory() {
            engine.addMemoryTokens(20_000, 20_000);
            report(0.7);
            assertThat(check(15_000)).isEqualTo(PlacementDecision.ALLOWED);
            assertThat(check(15_100)).isEqualTo(PlacementDecision.MEMORY_FULL);
        }

        /** Guards against a request that waits for ever, because it is larger than the memory. */
        @Test
        void isSentToTheEngineThatRefusesItIfItIsTooLarge() {
            report(0.7);
            assertThat(check((int) CAPACITY)).isEqualTo(PlacementDecision.MEMORY_FULL);
            assertThat(check((int) CAPACITY + 1)).isEqualTo(PlacementDecision.ALLOWED);
            report(0);
            assertThat(check((int) CAPACITY)).isEqualTo(PlacementDecision.ALLOWED);
        }

        /** Guards against a response without a stated maximum that is counted as empty. */
        @Test
        void countsAResponseOfUnknownLength() {
            assertThat(new CallerRequest.Generation("m", 100, 0, List.of()).memoryTokens())
                    .isGreaterThan(1000);
            assertThat(new CallerRequest.Generation("m", 100, 80, List.of()).memoryTokens())
                    .isEqualTo(180);
        }
    }

    @Nested
    class ALargeRequest {
        /** Guards against a queue that stands still behind one request. */
        @Test
        void doesNotHoldUpSmallerOnes() {
            ServiceQueue queue = ServiceQueue.of("s", time, table, UpstreamChooser.of("z1", rule), log);
            report(0.5);
            FakeRequest large = request(60_000);
            FakeRequest small = request(1000);
            queue.add(large, PROFILE, VersionLimit.none());
            queue.add(small, PROFILE, VersionLimit.none());
            assertThat(large.choice).isEmpty();
            assertThat(small.choice).isPresent();

            report(0);
            queue.dispatchWaiting(PROFILE, VersionLimit.none());
            assertThat(large.choice).isPresent();
        }
    }
}
