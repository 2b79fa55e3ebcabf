package org.masticcroft.account.writer;

import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;

/** Listener for flushes, dropped records and failures of an account writer. Calls may come from several threads. */
public interface AccountListener {
    /** Called when the log has confirmed a batch of {@code count} records from number {@code first} on. */
    void flushed(long first, int count, long offset);

    /** Called when the log has not confirmed a batch, which stays pending and will be appended again. */
    void flushFailed(long first, int count, ErrorCode code);

    /** Called when records were dropped because the buffer is full. */
    void dropped(String writer, long bufferBytes);

    /** Called when a flush failed with an unexpected exception; the writer tries again after its flush interval. */
    void failed(RuntimeException cause);

    /** Returns a listener that writes to the event log of the process. */
    static AccountListener logging() {
        return new AccountListener() {
            @Override
            public void flushed(long first, int count, long offset) {
                EventLog.info(Event.ACCOUNT_FLUSHED, "first", first, "count", count, "offset", offset);
            }

            @Override
            public void flushFailed(long first, int count, ErrorCode code) {
                EventLog.warn(Event.ACCOUNT_FLUSH_FAILED, "first", first, "count", count, "code", code);
            }

            @Override
            public void dropped(String writer, long bufferBytes) {
                EventLog.warn(Event.ACCOUNT_GAP, "writer", writer, "bound_bytes", bufferBytes);
            }

            @Override
            public void failed(RuntimeException cause) {
                EventLog.error(Event.INTERNAL_ERROR, cause, "component", "account-writer");
            }
        };
    }
}
