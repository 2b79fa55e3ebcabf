package org.masticcroft.account.writer;

import org.masticcroft.account.record.AuditRecord;

/** Accepts audit records and appends them to the log in batches. Safe for use by many threads; never blocks. */
public interface AccountWriter extends AutoCloseable {
    /** Numbers and buffers a record. */
    void write(AuditRecord record);

    /** Appends what is buffered, as far as the log accepts it, and stops. */
    @Override
    void close();
}
