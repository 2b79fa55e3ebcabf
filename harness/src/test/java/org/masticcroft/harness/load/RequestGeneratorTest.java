package org.masticcroft.harness.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.masticcroft.harness.history.Kind;

class RequestGeneratorTest {
    private static final int COUNT = 4_000;

    /** Guards against runs that cannot be repeated. */
    @Test
    void sameSeedGivesTheSameRequests() {
        assertThat(draw(1, 50)).isEqualTo(draw(1, 50));
        assertThat(draw(1, 50)).isNotEqualTo(draw(2, 50));
    }

    /** Guards against a rate or mix other than the one asked for. */
    @Test
    void keepsRateAndMix() {
        List<PlannedRequest> requests = draw(7, COUNT);
        assertThat(requests.get(COUNT - 1).atNanos() / 1e9).isBetween(COUNT / 100 * 0.9, COUNT / 100 * 1.1);
        assertThat(requests).filteredOn(request -> request.kind() == Kind.CHAT).hasSizeBetween(1_800, 2_200);
        assertThat(requests)
                .filteredOn(request -> request.caller().key().equals("big"))
                .hasSizeBetween(2_800, 3_200);
        assertThat(requests.stream().map(PlannedRequest::token).distinct()).hasSize(COUNT);
    }

    private static List<PlannedRequest> draw(long seed, int count) {
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
