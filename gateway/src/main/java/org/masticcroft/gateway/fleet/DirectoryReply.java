package org.masticcroft.gateway.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Reply to a read of a directory.
 *
 * @param status whether the read succeeded
 * @param changes the records that were read, oldest first
 * @param nextOffset offset from which to continue
 * @param transferTime time for which the reply was received; newer records may have been written meanwhile
 * @param reason why the read failed; empty otherwise
 */
public record DirectoryReply(
        Status status, List<FleetChange> changes, long nextOffset, Duration transferTime, String reason) {
    /** Outcome of a read. */
    public enum Status {
        READ,
        /** The requested records have been deleted; the directory has to be read in full. */
        EXPIRED,
        UNAVAILABLE
    }

    public DirectoryReply {
        Objects.requireNonNull(status, "status");
        Objects.requireNonNull(transferTime, "transferTime");
        Objects.requireNonNull(reason, "reason");
        changes = List.copyOf(changes);
    }

    /** Creates the reply of a successful read. */
    public static DirectoryReply read(List<FleetChange> changes, long nextOffset) {
        return new DirectoryReply(Status.READ, changes, nextOffset, Duration.ZERO, "");
    }

    /** Creates the reply of a read whose records have been deleted. */
    public static DirectoryReply expired() {
        return new DirectoryReply(Status.EXPIRED, List.of(), 0, Duration.ZERO, "records are deleted");
    }

    /** Creates the reply of a failed read. */
    public static DirectoryReply unavailable(String reason) {
        return new DirectoryReply(Status.UNAVAILABLE, List.of(), 0, Duration.ZERO, reason);
    }

    /** Returns the same reply with the time for which it was received. */
    public DirectoryReply receivedWithin(Duration time) {
        return new DirectoryReply(status, changes, nextOffset, time, reason);
    }
}
