package org.masticcroft.account.record;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Instant;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A change that a process made or observed: a configuration version that took effect, a lease, an order to an engine.
 *
 * @param time wall-clock time of the change
 * @param kind kind of change, for example {@code config-applied} or {@code weights-loaded}
 * @param details attributes of the change by name
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
