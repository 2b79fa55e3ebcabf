package org.masticcroft.ports.log;

import java.time.Duration;
import org.masticcroft.kernel.error.MasticcroftException;

/** Client of the platform's append-only log service. Safe for use by many threads. */
public interface LogService {
    /**
     * Appends a record.
     *
     * @param stream name of the stream
     * @param data the record
     * @return offset of the record in the stream
     * @throws MasticcroftException with {@code LOG_UNAVAILABLE}; the verdict is {@code NOT_RUN} if the service
     *     certainly refused the record, and {@code MAY_HAVE_RUN} if the answer was lost
     */
    long append(String stream, byte[] data);

    /**
     * Reads records in order.
     *
     * @param stream name of the stream
     * @param from first offset wanted
     * @param max largest number of records
     * @param wait how long the service may wait for a first record
     * @throws MasticcroftException with {@code LOG_UNAVAILABLE} if the service does not answer
     */
    LogPage read(String stream, long from, int max, Duration wait);
}
