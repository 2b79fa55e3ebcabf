package org.masticcroft.harness.answer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One token of an engine stand-in's answer: {@code t<index>/<total>:<weights>:<mark>}, where the mark is the start of
 * SHA-256 over {@code <prompt SHA-256>|<weights digest>|<index>}.
 *
 * @param index index of the token
 * @param total length of the whole answer in tokens
 * @param weights first 12 hex digits of the weights digest
 * @param mark first 8 hex digits of the digest over prompt, weights and index
 */
public record Marker(int index, int total, String weights, String mark) {
    private static final Pattern FORMAT = Pattern.compile("t(\\d{1,9})/(\\d{1,9}):([0-9a-f]{12}):([0-9a-f]{8})");
    private static final String DIGEST_PREFIX = "sha256:";

    /** Reads an answer; nothing if any part of it is not a marker. */
    public static Optional<List<Marker>> parse(String answer) {
        List<Marker> markers = new ArrayList<>();
        if (answer.isBlank()) {
            return Optional.of(markers);
        }
        for (String word : answer.trim().split(" ")) {
            Matcher matcher = FORMAT.matcher(word);
            if (!matcher.matches()) {
                return Optional.empty();
            }
            markers.add(new Marker(
                    Integer.parseInt(matcher.group(1)),
                    Integer.parseInt(matcher.group(2)),
                    matcher.group(3),
                    matcher.group(4)));
        }
        return Optional.of(markers);
    }

    /** Returns the token that an engine produces, for expected values. */
    public static Marker of(int index, int total, String promptSha256, String weightsDigest) {
        String mark =
                Sha256.hex(promptSha256 + "|" + weightsDigest + "|" + index).substring(0, 8);
        return new Marker(index, total, shortDigest(weightsDigest), mark);
    }

    /** Returns the digits of a weights digest that markers contain. */
    public static String shortDigest(String weightsDigest) {
        String hex = weightsDigest.startsWith(DIGEST_PREFIX)
                ? weightsDigest.substring(DIGEST_PREFIX.length())
                : weightsDigest;
        return hex.substring(0, Math.min(12, hex.length()));
    }

    @Override
    public String toString() {
        return "t" + index + "/" + total + ":" + weights + ":" + mark;
    }
}
