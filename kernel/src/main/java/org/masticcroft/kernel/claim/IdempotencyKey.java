package org.masticcroft.kernel.claim;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.verdict.Verdict;

/**
 * Key under which a caller sends a non-idempotent call, in the form {@code <issue time>.<token>}. The issue time is
 * RFC 3339 in UTC or whole epoch seconds.
 *
 * @param text the key as the caller sent it
 * @param issued issue time
 */
public record IdempotencyKey(String text, Instant issued) {
    /** Largest distance of an issue time into the future; allows for callers whose clocks run ahead. */
    static final Duration MAX_AHEAD = Duration.ofMinutes(5);

    private static final Pattern FORMAT =
            Pattern.compile("(\\d{1,12}|\\d{4}-\\d{2}-\\d{2}T\\d{2}:\\d{2}:\\d{2}(?:\\.\\d{1,9})?Z)"
                    + "\\.([A-Za-z0-9._~:+/=-]{1,200})");

    public IdempotencyKey {
        Objects.requireNonNull(text, "text");
        Objects.requireNonNull(issued, "issued");
    }

    /**
     * Parses a key.
     *
     * @throws MasticcroftException with {@code IDEMPOTENCY_KEY_MALFORMED} and verdict {@code NOT_RUN}
     */
    public static IdempotencyKey parse(String text) {
        Matcher matcher = FORMAT.matcher(Objects.requireNonNull(text, "text"));
        if (!matcher.matches()) {
            throw malformed(text);
        }
        String time = matcher.group(1);
        try {
            Instant issued = time.endsWith("Z") ? Instant.parse(time) : Instant.ofEpochSecond(Long.parseLong(time));
            return new IdempotencyKey(text, issued);
        } catch (DateTimeException e) {
            throw malformed(text);
        }
    }

    /**
     * Returns the failure to report if the key is too old or too far in the future to be used.
     *
     * @param now wall-clock time
     * @param lifetime time from issue during which claims of the key are certainly retained by the log
     */
    public Optional<MasticcroftException> refusal(Instant now, Duration lifetime) {
        if (issued.plus(lifetime).isBefore(now)) {
            return Optional.of(MasticcroftException.of(
                    ErrorCode.IDEMPOTENCY_KEY_EXPIRED,
                    Verdict.MAY_HAVE_RUN,
                    "the key was issued at " + issued + ", longer ago than the key lifetime of " + lifetime
                            + "; an earlier attempt may have run"));
        }
        if (issued.isAfter(now.plus(maxAhead(lifetime)))) {
            return Optional.of(MasticcroftException.notRun(
                    ErrorCode.IDEMPOTENCY_KEY_MALFORMED, "the issue time " + issued + " of the key is in the future"));
        }
        return Optional.empty();
    }

    /** Returns the lower-case hex SHA-256 of customer and key, under which claims are recorded. */
    public String digest(String customer) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(customer.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }

    /**
     * Returns how long after its log time a claim can still be needed: a key may be issued ahead of the claim, and
     * clocks of instances and log may differ by a few seconds.
     */
    public static Duration claimRetention(Duration lifetime) {
        return lifetime.plus(maxAhead(lifetime)).plus(Duration.ofSeconds(10));
    }

    /** A key issued further ahead than its lifetime would outlive the log records that decide it. */
    private static Duration maxAhead(Duration lifetime) {
        return lifetime.compareTo(MAX_AHEAD) < 0 ? lifetime : MAX_AHEAD;
    }

    private static MasticcroftException malformed(String text) {
        String shown = text.length() > 80 ? text.substring(0, 80) + "..." : text;
        return MasticcroftException.notRun(
                ErrorCode.IDEMPOTENCY_KEY_MALFORMED,
                "not an idempotency key of the form <issue time>.<token>: " + shown);
    }
}
