package org.masticcroft.account.writer;

import org.masticcroft.account.record.AuditRecord;

/**
 * Buffers audit records and appends them to the log in batches. Implementations are thread-safe, and {@link #write}
 * never blocks.
 */
public interface AccountWriter extends AutoCloseable {
    /** Assigns the next number to a record and buffers it. */
    void write(AuditRecord record);

    /** Stops the writer and appends the buffered records as far as the log accepts them. */
    @Override
    void close();
}
