package org.masticcroft.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * Content digest that identifies a set of weights, in the form {@code sha256:} followed by 64 hex digits.
 *
 * @param value the digest, including its prefix
 */
public record WeightsDigest(@JsonValue String value) {
    private static final Pattern FORMAT = Pattern.compile("sha256:[0-9a-f]{64}");

    public WeightsDigest {
        Objects.requireNonNull(value, "value");
        if (!FORMAT.matcher(value).matches()) {
            throw new IllegalArgumentException("not a weights digest of the form sha256:<64 hex digits>: " + value);
        }
    }

    /** Parses a digest from its text form. */
    @JsonCreator
    public static WeightsDigest of(String value) {
        return new WeightsDigest(value);
    }

    /** Returns whether {@code value} has the form of a weights digest. */
    public static boolean isValid(String value) {
        return value != null && FORMAT.matcher(value).matches();
    }

    @Override
    public String toString() {
        return value;
    }
}
