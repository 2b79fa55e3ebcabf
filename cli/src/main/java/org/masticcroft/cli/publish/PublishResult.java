package org.masticcroft.cli.publish;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Result of a publication.
 *
 * @param outcome outcome of the publication
 * @param version the version of this publication, or the one in force; 0 if not known
 * @param publishId unique id of the publication; empty if nothing was appended
 * @param missing ids of the listed live instances that did not confirm the version
 * @param detail explanation for the operator
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record PublishResult(
        @JsonProperty("outcome") Outcome outcome,
        @JsonProperty("version") long version,
        @JsonProperty("publish_id") String publishId,
        @JsonProperty("missing") List<String> missing,
        @JsonProperty("detail") String detail) {
    public PublishResult {
        missing = List.copyOf(missing);
    }

    /** Outcome of a publication. */
    public enum Outcome {
        /** The version is in force on every listed live instance. */
        ACCEPTED,
        /** The version is committed in the log, but some instance did not confirm it in time. */
        COMMITTED_NOT_IN_FORCE,
        /** Another update of the same base version was committed first. */
        LOST_RACE,
        /** The log did not store the record, or the version in force cannot be read. Nothing was published. */
        NOT_PUBLISHED,
        /** The record may be in the log, or an append in flight may still add it. */
        UNKNOWN
    }
}
