package org.masticcroft.gateway.fleet;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Records of the account that were read from the store.
 *
 * @param failure reason why the read failed; empty if it succeeded
 * @param records the records in the order in which they were appended
 * @param endOffset offset after the last record
 */
public record AccountRecords(Optional<String> failure, List<Stored> records, long endOffset) {
    /** Rejects missing values and copies the list. */
    public AccountRecords {
        Objects.requireNonNull(failure, "failure");
        records = List.copyOf(records);
    }

    /** A record with its key and offset. */
    public record Stored(String key, long offset, byte[] data) {
        /** Rejects missing values. */
        public Stored {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(data, "data");
        }
    }
}
