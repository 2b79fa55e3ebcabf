package org.masticcroft.harness.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.masticcroft.harness.history.Kind;

class RequestGeneratorTest {
    private static final int COUNT = 4_000;

    /** Guards against runs that cannot be reproduced from their seed. */
    @Test
    void sameSeedGivesTheSameRequests() {
        assertThat(generate(1, 50)).isEqualTo(generate(1, 50));
        assertThat(generate(1, 50)).isNotEqualTo(generate(2, 50));
    }

    /** Guards against a rate or mix of requests that differs from the settings. */
    @Test
    void keepsRateAndMix() {
        List<PlannedRequest> requests = generate(7, COUNT);
        assertThat(requests.get(COUNT - 1).sendAtNanos() / 1e9).isBetween(COUNT / 100 * 0.9, COUNT / 100 * 1.1);
        assertThat(requests).filteredOn(request -> request.kind() == Kind.CHAT).hasSizeBetween(1_800, 2_200);
        assertThat(requests)
                .filteredOn(request -> request.caller().key().equals("big"))
                .hasSizeBetween(2_800, 3_200);
        assertThat(requests.stream().map(PlannedRequest::token).distinct()).hasSize(COUNT);
    }

    private static List<PlannedRequest> generate(long seed, int count) {
        LoadSettings settings = new LoadSettings(
                List.of("h:1", "h:2"),
                "d",
                List.of("s"),
                "/status",
                "/orders",
                List.of(CallerKey.parse("big:live:3"), CallerKey.parse("small:draft")),
                100,
                Duration.ofSeconds(1),
                seed,
                0.5,
                0.5,
                0.5,
                0.5,
                true,
                2,
                64,
                4,
                8,
                Duration.ofSeconds(1));
        RequestGenerator generator = RequestGenerator.of(settings, "run");
        return Stream.generate(generator::next).limit(count).toList();
    }
}
