package org.masticcroft.account.verify;

import java.time.Instant;
import java.util.List;

/**
 * Result of the verification of an exported file.
 *
 * @param findings what is wrong with the file, in the order in which it was found
 * @param gaps records that the account reports as missing
 * @param batches number of batches
 * @param records number of records
 */
public record Verification(List<Finding> findings, List<Gap> gaps, long batches, long records) {
    /** Rejects null and copies the lists. */
    public Verification {
        findings = List.copyOf(findings);
        gaps = List.copyOf(gaps);
    }

    /** Returns whether the verification has no findings; gaps are allowed. */
    public boolean isAuthentic() {
        return findings.isEmpty();
    }

    /**
     * A problem of the file.
     *
     * @param kind kind of problem
     * @param detail location and values
     */
    public record Finding(Kind kind, String detail) {}

    /** Kind of problem. */
    public enum Kind {
        /** The digest in the trailer does not match the bytes of the file. */
        FILE_DIGEST,
        /** The file cannot be read to its end. */
        UNREADABLE,
        /** A line is not part of the format. */
        MALFORMED_LINE,
        /** The start or end line is missing, repeated or out of place. */
        STRUCTURE,
        /** The digest or the counts in the end line do not match the content. */
        CONTENT_DIGEST,
        /** The count or payload digest of a batch does not match its records. */
        CHANGED_RECORDS,
        /** The signature of a batch is not valid under any of the public keys. */
        SIGNATURE,
        /** A batch does not continue the hash chain of its writer. */
        CHAIN,
        /** The record numbers of a writer are not consecutive. */
        NUMBERING,
        /** The offsets of the log stream are not consecutive. */
        OFFSETS
    }

    /**
     * A gap: records that are missing although the file may be authentic.
     *
     * @param writer name of the writer; empty if the records had passed the retention of the log
     * @param reason why records are missing
     * @param fromMillis start of the gap in milliseconds since the epoch; 0 if unknown
     * @param toMillis end of the gap; 0 if unknown
     * @param records number of missing records; -1 if unknown
     */
    public record Gap(String writer, Reason reason, long fromMillis, long toMillis, long records) {
        /** Returns the gap as one human-readable line. */
        public String describe() {
            String source = writer.isEmpty() ? "log" : writer;
            String missing = records < 0 ? "unknown number of records" : records + " records";
            return source + ": " + reason + ", " + time(fromMillis) + " to " + time(toMillis) + ", " + missing;
        }

        private static String time(long millis) {
            return millis == 0 ? "unknown" : Instant.ofEpochMilli(millis).toString();
        }
    }

    /** Reason of a gap. */
    public enum Reason {
        /** The writer dropped records because its buffer was full. */
        BUFFER_FULL,
        /** The final batch of the writer is missing: the writer was still running or died with buffered records. */
        OPEN_END,
        /** Records had passed the retention of the log before they were exported. */
        EXPIRED,
        /** The file starts in the middle of the writer's chain. */
        STARTS_LATE
    }
}
