package org.masticcroft.account.capacity;

import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticcroft.account.record.DispatchRecord;
import org.masticcroft.account.record.RequestRecord;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * Generates records of served requests with 24 candidates. Ids and body digests are random, so that they do not
 * compress.
 */
final class SampleRecords {
    private static final int CUSTOMERS = 10;
    private static final int UPSTREAMS = 24;
    private static final int NAMED_CANDIDATES = 8;
    private static final int SHA256_BYTES = 32;
    private static final String WEIGHTS_DIGEST = "sha256:" + "5e".repeat(SHA256_BYTES);
    private static final Instant START = Instant.parse("2026-12-04T04:00:00Z");

    private final UniformRandomProvider random;
    private long elapsedMillis;

    private SampleRecords(UniformRandomProvider random) {
        this.random = random;
    }

    static SampleRecords of(long seed) {
        return new SampleRecords(RandomSource.XO_SHI_RO_256_PP.create(seed));
    }

    RequestRecord request() {
        Instant arrival = nextTime();
        String upstream = randomUpstream();
        return new RequestRecord(
                randomId(),
                "customer-" + random.nextInt(CUSTOMERS),
                "urgent",
                "assistant",
                arrival,
                arrival.plusMillis(100 + random.nextInt(900)),
                1000,
                Optional.of("harbour"),
                Optional.of("v1"),
                Optional.empty(),
                Optional.of(WEIGHTS_DIGEST),
                Optional.of(upstream),
                3,
                random.nextInt(1000),
                Verdict.RAN,
                Optional.empty(),
                200,
                randomDigest(),
                Optional.of(randomDigest()),
                List.of(attempt(upstream)));
    }

    DispatchRecord dispatch() {
        Instant start = nextTime();
        return new DispatchRecord(
                randomId(),
                1,
                "entry-" + random.nextInt(UPSTREAMS),
                "engine-1",
                start,
                start.plusMillis(100 + random.nextInt(900)),
                Verdict.RAN,
                Optional.empty(),
                Optional.of(WEIGHTS_DIGEST),
                Optional.of("engine-1-incarnation"),
                randomDigest(),
                Optional.of(randomDigest()));
    }

    private RequestRecord.Attempt attempt(String upstream) {
        List<String> candidates = random.ints(NAMED_CANDIDATES, 0, UPSTREAMS)
                .mapToObj(i -> "engine-" + i)
                .toList();
        return new RequestRecord.Attempt(
                1,
                upstream,
                UPSTREAMS,
                candidates,
                "preferred",
                Verdict.RAN,
                Optional.empty(),
                Optional.of(upstream + "-incarnation"));
    }

    private Instant nextTime() {
        return START.plusMillis(elapsedMillis++);
    }

    private String randomUpstream() {
        return "engine-" + random.nextInt(UPSTREAMS);
    }

    private String randomId() {
        return new UUID(random.nextLong(), random.nextLong()).toString();
    }

    private String randomDigest() {
        byte[] bytes = new byte[SHA256_BYTES];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
