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
 * Key that a caller sends with an order, in the form {@code <issue time>.<token>}. The issue time is an RFC 3339 time
 * in UTC or whole epoch seconds.
 *
 * @param text the key as the caller sent it
 * @param issued issue time of the key
 */
public record IdempotencyKey(String text, Instant issued) {
    /** Maximum distance of an issue time into the future; tolerates callers whose clocks run ahead. */
    static final Duration MAX_CLOCK_LEAD = Duration.ofMinutes(5);

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
     * Returns the error to report if the key is expired or was issued too far in the future; otherwise empty.
     *
     * @param now wall-clock time
     * @param lifetime time after the issue of the key during which the log is guaranteed to retain its claims
     */
    public Optional<MasticcroftException> refusal(Instant now, Duration lifetime) {
        if (issued.plus(lifetime).isBefore(now)) {
            return Optional.of(MasticcroftException.of(
                    ErrorCode.IDEMPOTENCY_KEY_EXPIRED,
                    Verdict.MAY_HAVE_RUN,
                    "the key was issued at " + issued + ", longer ago than the key lifetime of " + lifetime
                            + "; an earlier attempt may have run"));
        }
        if (issued.isAfter(now.plus(maxClockLead(lifetime)))) {
            return Optional.of(MasticcroftException.notRun(
                    ErrorCode.IDEMPOTENCY_KEY_MALFORMED, "the issue time " + issued + " of the key is in the future"));
        }
        return Optional.empty();
    }

    /** Returns the lower-case hex SHA-256 of the customer and the key, which identifies the key in claim records. */
    public String digest(String customer) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(customer.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /**
     * Returns how long after its log time a claim must be retained. It exceeds the key lifetime, because the issue time
     * of a key may be later than its claim and the clocks of instances and log may differ by a few seconds.
     *
     * @param lifetime lifetime of a key
     */
    public static Duration claimRetention(Duration lifetime) {
        return lifetime.plus(maxClockLead(lifetime)).plus(Duration.ofSeconds(10));
    }

    /** Limits the lead to the key lifetime: a key issued further ahead would outlive the log records of its claims. */
    private static Duration maxClockLead(Duration lifetime) {
        return lifetime.compareTo(MAX_CLOCK_LEAD) < 0 ? lifetime : MAX_CLOCK_LEAD;
    }

    private static MasticcroftException malformed(String text) {
        String excerpt = text.length() > 80 ? text.substring(0, 80) + "..." : text;
        return MasticcroftException.notRun(
                ErrorCode.IDEMPOTENCY_KEY_MALFORMED,
                "not an idempotency key of the form <issue time>.<token>: " + excerpt);
    }
}
