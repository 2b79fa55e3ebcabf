package org.masticcroft.account.writer;

import org.masticcroft.kernel.error.ErrorCode;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;

/** Learns what happens to the records of a writer, for the log of its process. */
public interface AccountListener {
    /** Is called when the log confirmed a batch. */
    void flushed(long first, int count, long offset);

    /** Is called when the log did not confirm a batch, which stays buffered. */
    void flushFailed(long first, int count, ErrorCode code);

    /** Is called when records were dropped because the buffer is full. */
    void dropped(String writer, long boundBytes);

    /** Is called when the writer itself failed; it tries again at its next interval. */
    void failed(RuntimeException cause);

    /** Returns events that go to the log of the process. */
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
            public void dropped(String writer, long boundBytes) {
                EventLog.warn(Event.ACCOUNT_GAP, "writer", writer, "bound_bytes", boundBytes);
            }

            @Override
            public void failed(RuntimeException cause) {
                EventLog.error(Event.INTERNAL_ERROR, cause, "component", "account-writer");
            }
        };
    }
}
