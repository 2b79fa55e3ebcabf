package org.masticcroft.standins.engine;

import org.masticcroft.standins.digest.Sha256;

/**
 * The deterministic text of an answer. Token {@code i} of {@code n} is {@code t<i>/<n>:<weights>:<checksum>} and a
 * space. {@code weights} is the first 12 hex digits of the weights digest; {@code checksum} is the first 8 hex digits
 * of SHA-256 over {@code <prompt SHA-256>|<weights digest>|<i>}. A reader can therefore tell whether an answer is
 * complete, belongs to its prompt, and came from one set of weights.
 */
final class AnswerText {
    private static final int WEIGHTS_DIGITS = 12;
    private static final int CHECKSUM_DIGITS = 8;
    private static final String DIGEST_PREFIX = "sha256:";

    private final String promptSha256;
    private final String weightsDigest;
    private final int length;

    private AnswerText(String promptSha256, String weightsDigest, int length) {
        this.promptSha256 = promptSha256;
        this.weightsDigest = weightsDigest;
        this.length = length;
    }

    static AnswerText of(String promptSha256, String weightsDigest, int length) {
        return new AnswerText(promptSha256, weightsDigest, length);
    }

    /** Returns the number of tokens of the whole answer. */
    int length() {
        return length;
    }

    /** Returns one token. */
    String token(int index) {
        String checksum =
                Sha256.hex(promptSha256 + "|" + weightsDigest + "|" + index).substring(0, CHECKSUM_DIGITS);
        String weights = weightsDigest.substring(DIGEST_PREFIX.length(), DIGEST_PREFIX.length() + WEIGHTS_DIGITS);
        return "t" + index + "/" + length + ":" + weights + ":" + checksum + " ";
    }
}
