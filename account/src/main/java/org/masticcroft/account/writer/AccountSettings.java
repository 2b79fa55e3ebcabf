package org.masticcroft.account.writer;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of an account writer.
 *
 * @param writer instance id and incarnation of the process
 * @param role role of the process
 * @param flushInterval time between two flushes of buffered records
 * @param idleInterval time without appends after which an empty batch shows that the writer is alive
 * @param bufferBytes largest total size of buffered records, in bytes
 * @param batchBytes largest payload of one batch before compression, in bytes
 */
public record AccountSettings(
        String writer, String role, Duration flushInterval, Duration idleInterval, long bufferBytes, int batchBytes) {
    /** Rejects null. */
    public AccountSettings {
        Objects.requireNonNull(writer, "writer");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(flushInterval, "flushInterval");
        Objects.requireNonNull(idleInterval, "idleInterval");
    }

    /** Returns settings with the default idle interval, buffer size and batch size. */
    public static AccountSettings of(String writer, String role, Duration flushInterval) {
        return new AccountSettings(writer, role, flushInterval, Duration.ofMinutes(1), 32L << 20, 1 << 20);
    }
}
