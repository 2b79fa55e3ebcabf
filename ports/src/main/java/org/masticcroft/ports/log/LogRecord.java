package org.masticcroft.ports.log;

import java.time.Instant;
import java.util.Objects;

/**
 * A record of a log stream.
 *
 * @param offset offset in the stream, from 0
 * @param time time at which the service accepted the record
 * @param data content of the record; must not be modified
 */
public record LogRecord(long offset, Instant time, byte[] data) {
    public LogRecord {
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(data, "data");
    }
}
