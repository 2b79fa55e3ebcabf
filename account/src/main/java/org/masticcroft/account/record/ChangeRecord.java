package org.masticcroft.account.record;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Instant;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A change that a process saw or made: a configuration version that took effect, a lease, an order to an engine.
 *
 * @param time wall-clock time
 * @param kind kind of change, for example {@code config-applied} or {@code weights-loaded}
 * @param details names and values that describe the change
 */
public record ChangeRecord(
        @JsonProperty("time") Instant time,
        @JsonProperty("kind") String kind,
        @JsonProperty("details") SortedMap<String, String> details)
        implements AuditRecord {
    public ChangeRecord {
        details = new TreeMap<>(details);
    }
}
