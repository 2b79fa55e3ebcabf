package org.masticcroft.account.writer;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of an account writer.
 *
 * @param writer instance id and incarnation of the process
 * @param role role of the process
 * @param flushInterval time between two appends while there are records
 * @param idleInterval time after which an empty batch states that the writer is alive and wrote nothing
 * @param bufferBytes bound of the records that wait for the log, in bytes
 * @param batchBytes largest payload of one batch before compression, in bytes
 */
public record AccountSettings(
        String writer, String role, Duration flushInterval, Duration idleInterval, long bufferBytes, int batchBytes) {
    /** Requires all fields. */
    public AccountSettings {
        Objects.requireNonNull(writer, "writer");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(flushInterval, "flushInterval");
        Objects.requireNonNull(idleInterval, "idleInterval");
    }

    /** Returns the usual settings of a role. */
    public static AccountSettings of(String writer, String role, Duration flushInterval) {
        return new AccountSettings(writer, role, flushInterval, Duration.ofMinutes(1), 32L << 20, 1 << 20);
    }
}
