package org.masticcroft.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.config.AllowedRegions;
import org.masticcroft.gateway.config.Route;
import org.masticcroft.gateway.config.RouteKind;
import org.masticcroft.gateway.http.CallerRequest;

class ResponseTimesTest {
    private final ResponseTimes times = ResponseTimes.empty();

    private static Route route(String name) {
        return new Route(
                name,
                "host",
                "/",
                RouteKind.STREAM,
                Duration.ofSeconds(6),
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                0,
                List.of(),
                1,
                true,
                true,
                AllowedRegions.all());
    }

    private static CallerRequest request(Optional<CallerRequest.Generation> generation) {
        return new CallerRequest(
                "a",
                HttpMethod.POST,
                "host",
                "/",
                new DefaultHttpHeaders(),
                new byte[0],
                Optional.empty(),
                Optional.empty(),
                generation,
                OptionalLong.empty());
    }

    private static CallerRequest generation(int maxOutputTokens) {
        return request(Optional.of(new CallerRequest.Generation("m", 10, maxOutputTokens, List.of())));
    }

    @Nested
    class TheExpectedTime {
        /** Guards against refusals by an entry that has just started and knows no response yet. */
        @Test
        void isZeroWithoutAResponse() {
            assertThat(times.expected(route("r"), generation(100))).isZero();
        }

        /** Guards against a long stream that is taken for a short one. */
        @Test
        void growsWithTheTokens() {
            times.record(route("r"), generation(50), Duration.ZERO, Duration.ofMillis(500));

            assertThat(times.expected(route("r"), generation(200))).isEqualTo(Duration.ofSeconds(2));
        }

        /** Guards against the refusal of a long stream because of the time before the first token of short ones. */
        @Test
        void countsTheTimeBeforeTheFirstTokenOnce() {
            Duration begin = Duration.ofMillis(400);
            times.record(route("r"), generation(10), begin, begin.plusMillis(50));
            times.record(route("r"), generation(20), begin, begin.plusMillis(100));

            assertThat(times.expected(route("r"), generation(400))).isEqualTo(begin.plusSeconds(2));
        }

        /** Guards against the times of one route in the decisions on another. */
        @Test
        void isThatOfTheRoute() {
            times.record(route("slow"), generation(50), Duration.ZERO, Duration.ofSeconds(5));

            assertThat(times.expected(route("fast"), generation(50))).isZero();
        }

        /** Guards against a division by zero for requests that state no tokens. */
        @Test
        void isTheMeanOfRequestsWithoutTokens() {
            times.record(route("r"), request(Optional.empty()), Duration.ZERO, Duration.ofMillis(100));
            times.record(route("r"), generation(0), Duration.ZERO, Duration.ofMillis(200));

            assertThat(times.expected(route("r"), request(Optional.empty()))).isEqualTo(Duration.ofMillis(110));
        }
    }
}
