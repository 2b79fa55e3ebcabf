package org.masticcroft.gateway.fleet;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Records of the account that the store keeps.
 *
 * @param failure why they could not be read; empty if they were
 * @param records the records in the order in which they were kept
 * @param end offset after the last record
 */
public record KeptRecords(Optional<String> failure, List<Kept> records, long end) {
    /** Rejects missing values and copies the list. */
    public KeptRecords {
        Objects.requireNonNull(failure, "failure");
        records = List.copyOf(records);
    }

    /** A record under its key. */
    public record Kept(String key, long offset, byte[] data) {
        /** Rejects missing values. */
        public Kept {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(data, "data");
        }
    }
}
