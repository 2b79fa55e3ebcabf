package org.masticcroft.ports.log;

import java.time.Duration;
import org.masticcroft.kernel.error.MasticcroftException;

/** Client of the platform's append-only log service. Safe for use by many threads. */
public interface LogService {
    /**
     * Appends a record.
     *
     * @param stream name of the stream
     * @param data content of the record
     * @return offset of the record in the stream
     * @throws MasticcroftException with {@code LOG_UNAVAILABLE}; the verdict is {@code NOT_RUN} if the record
     *     was certainly not stored, and {@code MAY_HAVE_RUN} if it may have been, for example after a lost response
     */
    long append(String stream, byte[] data);

    /**
     * Reads records in order.
     *
     * @param stream name of the stream
     * @param from offset of the first record to return
     * @param max largest number of records to return
     * @param wait longest time that the service may wait while there is no such record
     * @throws MasticcroftException with {@code LOG_UNAVAILABLE} if the read fails
     */
    LogPage read(String stream, long from, int max, Duration wait);

    /**
     * Returns whether a record that is appended again under the same key replaces its earlier copies, so that reads
     * return no records at their offsets.
     */
    default boolean keepsNewestOfKey() {
        return false;
    }
}
