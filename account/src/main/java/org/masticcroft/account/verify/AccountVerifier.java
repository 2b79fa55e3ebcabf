package org.masticcroft.account.verify;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.masticcroft.account.batch.Batch;
import org.masticcroft.account.batch.BatchHeader;
import org.masticcroft.account.export.ExportLine;
import org.masticcroft.account.export.ExportReader;
import org.masticcroft.account.export.ExportTrailer;
import org.masticcroft.account.key.VerificationKeys;
import org.masticcroft.account.verify.Verification.Finding;
import org.masticcroft.account.verify.Verification.Gap;
import org.masticcroft.account.verify.Verification.Kind;
import org.masticcroft.account.verify.Verification.Reason;

/** Verifies an exported file; needs the public keys of the writers, but not the log. */
public final class AccountVerifier implements ExportReader.Handler {
    private final VerificationKeys keys;
    private final ChainCheck chains = new ChainCheck();
    private final List<Finding> findings = new ArrayList<>();
    private final List<Gap> gaps = new ArrayList<>();
    private boolean started;
    private boolean ended;
    private long expectedOffset;
    private long lastTimeMillis;
    private long batches;
    private long records;

    private AccountVerifier(VerificationKeys keys) {
        this.keys = keys;
    }

    /** Verifies a file. Every problem is reported as a finding; a damaged file causes no exception. */
    public static Verification verify(Path file, VerificationKeys keys) {
        AccountVerifier verifier = new AccountVerifier(Objects.requireNonNull(keys, "keys"));
        try {
            if (!ExportTrailer.isIntact(file)) {
                verifier.addFinding(Kind.FILE_DIGEST, "the trailer does not match the file");
            }
            ExportReader.of(file).read(verifier);
        } catch (IOException e) {
            verifier.addFinding(Kind.UNREADABLE, String.valueOf(e.getMessage()));
        }
        return verifier.result();
    }

    @Override
    public void batch(ExportLine.BatchLine line, Batch batch) {
        BatchHeader header = batch.header();
        String location = "offset " + line.offset() + ", writer " + header.writer();
        checkOffset(line.offset());
        lastTimeMillis = Math.max(lastTimeMillis, line.timeMillis());
        batches++;
        records += batch.lines().size();
        if (!batch.hasIntactPayload()) {
            addFinding(Kind.CHANGED_RECORDS, location);
        }
        if (!batch.hasValidSignature(keys)) {
            addFinding(Kind.SIGNATURE, location + ", key " + header.keyId());
        }
        chains.check(header, location, findings, gaps);
    }

    @Override
    public void otherLine(ExportLine line) {
        if (line instanceof ExportLine.Start start) {
            onStart(start);
        } else if (line instanceof ExportLine.Copy copy) {
            checkOffset(copy.offset());
        } else if (line instanceof ExportLine.Malformed malformed) {
            checkOffset(malformed.offset());
        } else if (line instanceof ExportLine.Expired expired) {
            checkOffset(expired.first());
            expectedOffset = expired.end();
            gaps.add(new Gap("", Reason.EXPIRED, 0, 0, -1));
        } else if (line instanceof ExportLine.Outside outside) {
            onOutside(outside);
        }
    }

    @Override
    public void end(ExportLine.End line, String digest) {
        if (ended) {
            addFinding(Kind.STRUCTURE, "repeated end line");
        }
        ended = true;
        if (!line.digest().equals(digest) || line.batches() != batches || line.records() != records) {
            addFinding(Kind.CONTENT_DIGEST, "the digest or counts in the end line do not match the content");
        }
        checkOffset(line.nextOffset());
    }

    @Override
    public void malformedLine(String text) {
        addFinding(Kind.MALFORMED_LINE, text.substring(0, Math.min(text.length(), 80)));
    }

    private void onStart(ExportLine.Start start) {
        if (started || !ExportLine.FORMAT.equals(start.format())) {
            addFinding(Kind.STRUCTURE, "repeated start line or unknown format");
        }
        started = true;
        expectedOffset = start.firstOffset();
    }

    private void onOutside(ExportLine.Outside outside) {
        String location =
                "offset " + outside.offset() + ", writer " + outside.header().writer();
        checkOffset(outside.offset());
        Batch headerOnly = new Batch(outside.header(), List.of());
        if (!headerOnly.hasValidSignature(keys)) {
            addFinding(Kind.SIGNATURE, location);
        }
        chains.check(outside.header(), location, findings, gaps);
    }

    private void checkOffset(long offset) {
        if (!started || ended && offset != expectedOffset) {
            addFinding(Kind.STRUCTURE, "offset " + offset + " before the start line or after the end line");
        } else if (offset != expectedOffset) {
            addFinding(Kind.OFFSETS, "offset " + offset + " where " + expectedOffset + " is expected");
        }
        expectedOffset = offset + 1;
    }

    private void addFinding(Kind kind, String detail) {
        findings.add(new Finding(kind, detail));
    }

    private Verification result() {
        if (!started || !ended) {
            addFinding(Kind.STRUCTURE, "the start line or the end line is missing");
        }
        gaps.addAll(chains.openEnds(lastTimeMillis));
        return new Verification(findings, gaps, batches, records);
    }
}
