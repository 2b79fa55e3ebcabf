package org.masticcroft.gateway.fleet;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Records of the account that the store keeps.
 *
 * @param failure why they could not be read; empty if they were
 * @param records the records in the order in which they were kept
 * @param endOffset offset after the last record
 */
public record AccountRecords(Optional<String> failure, List<Stored> records, long endOffset) {
    /** Rejects missing values and copies the list. */
    public AccountRecords {
        Objects.requireNonNull(failure, "failure");
        records = List.copyOf(records);
    }

    /** A record under its key. */
    public record Stored(String key, long offset, byte[] data) {
        /** Rejects missing values. */
        public Stored {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(data, "data");
        }
    }
}
