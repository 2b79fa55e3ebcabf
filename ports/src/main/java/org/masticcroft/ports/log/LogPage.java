package org.masticcroft.ports.log;

import java.util.List;

/**
 * Result of a read from a log stream.
 *
 * @param earliest earliest offset that the service still retains
 * @param next offset that the next appended record will have
 * @param records the records, in order
 */
public record LogPage(long earliest, long next, List<LogRecord> records) {
    public LogPage {
        records = List.copyOf(records);
    }
}
