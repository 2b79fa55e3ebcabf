package org.masticcroft.account.verify;

import java.time.Instant;
import java.util.List;

/**
 * Result of the verification of an exported file.
 *
 * @param findings what is wrong with the file, in the order in which it was found
 * @param gaps what the account states as missing
 * @param batches number of batches
 * @param records number of records
 */
public record Verification(List<Finding> findings, List<Gap> gaps, long batches, long records) {
    /** Copies the lists. */
    public Verification {
        findings = List.copyOf(findings);
        gaps = List.copyOf(gaps);
    }

    /** Returns whether nothing is wrong with the file; gaps are allowed. */
    public boolean isAuthentic() {
        return findings.isEmpty();
    }

    /**
     * A finding.
     *
     * @param kind kind of finding
     * @param detail place and values
     */
    public record Finding(Kind kind, String detail) {}

    /** Kind of finding. */
    public enum Kind {
        /** The bytes of the file differ from the digest in its trailer. */
        FILE_DIGEST,
        /** The file cannot be read to its end. */
        UNREADABLE,
        /** A line is not part of the format. */
        MALFORMED_LINE,
        /** The start or end line is missing, repeated or out of place. */
        STRUCTURE,
        /** The digest or the counts in the end line differ from the content. */
        CONTENT_DIGEST,
        /** A batch's records differ from its payload digest. */
        CHANGED_RECORDS,
        /** A batch's signature is not valid under the given keys. */
        SIGNATURE,
        /** A batch does not continue the hash chain of its writer. */
        CHAIN,
        /** The numbers of a writer's records do not continue. */
        NUMBERING,
        /** The offsets of the log stream are not accounted for one after the other. */
        OFFSETS
    }

    /**
     * A stated gap.
     *
     * @param writer the writer concerned; empty if the gap concerns the log
     * @param reason why something is missing
     * @param fromMillis start of the gap in milliseconds since the epoch; 0 if unknown
     * @param toMillis end of the gap; 0 if unknown
     * @param records number of missing records; -1 if unknown
     */
    public record Gap(String writer, Reason reason, long fromMillis, long toMillis, long records) {
        /** Returns the gap as one line for a person. */
        public String describe() {
            String place = writer.isEmpty() ? "log" : writer;
            String missing = records < 0 ? "unknown number of records" : records + " records";
            return place + ": " + reason + ", " + time(fromMillis) + " to " + time(toMillis) + ", " + missing;
        }

        private static String time(long millis) {
            return millis == 0 ? "unknown" : Instant.ofEpochMilli(millis).toString();
        }
    }

    /** Reason of a gap. */
    public enum Reason {
        /** The writer dropped records because its buffer was full. */
        BUFFER_FULL,
        /** The file holds no orderly end of the writer: it still ran, or it was lost with unappended records. */
        OPEN_END,
        /** The log had forgotten records before they were exported. */
        EXPIRED,
        /** The file begins in the middle of the writer's chain. */
        STARTS_LATE
    }
}
