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

/** Verifies an exported file with public keys only. */
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

    /** Verifies a file. Every problem becomes a finding; this method does not throw for a damaged file. */
    public static Verification verify(Path file, VerificationKeys keys) {
        AccountVerifier verifier = new AccountVerifier(Objects.requireNonNull(keys, "keys"));
        try {
            if (!ExportTrailer.isIntact(file)) {
                verifier.find(Kind.FILE_DIGEST, "the trailer does not belong to the file");
            }
            ExportReader.of(file).read(verifier);
        } catch (IOException e) {
            verifier.find(Kind.UNREADABLE, String.valueOf(e.getMessage()));
        }
        return verifier.result();
    }

    @Override
    public void batch(ExportLine.BatchLine line, Batch batch) {
        BatchHeader header = batch.header();
        String place = "offset " + line.offset() + ", writer " + header.writer();
        takeOffset(line.offset());
        lastTimeMillis = Math.max(lastTimeMillis, line.timeMillis());
        batches++;
        records += batch.lines().size();
        if (!batch.hasIntactPayload()) {
            find(Kind.CHANGED_RECORDS, place);
        }
        if (!batch.hasValidSignature(keys)) {
            find(Kind.SIGNATURE, place + ", key " + header.keyId());
        }
        chains.next(header, place, findings, gaps);
    }

    @Override
    public void other(ExportLine line) {
        if (line instanceof ExportLine.Start start) {
            onStart(start);
        } else if (line instanceof ExportLine.Copy copy) {
            takeOffset(copy.offset());
        } else if (line instanceof ExportLine.Malformed malformed) {
            takeOffset(malformed.offset());
        } else if (line instanceof ExportLine.Expired expired) {
            takeOffset(expired.first());
            expectedOffset = expired.end();
            gaps.add(new Gap("", Reason.EXPIRED, 0, 0, -1));
        } else if (line instanceof ExportLine.Outside outside) {
            onOutside(outside);
        }
    }

    @Override
    public void end(ExportLine.End line, String digest) {
        if (ended) {
            find(Kind.STRUCTURE, "a second end line");
        }
        ended = true;
        if (!line.digest().equals(digest) || line.batches() != batches || line.records() != records) {
            find(Kind.CONTENT_DIGEST, "the end line does not describe the content");
        }
        takeOffset(line.nextOffset());
    }

    @Override
    public void malformedLine(String text) {
        find(Kind.MALFORMED_LINE, text.substring(0, Math.min(text.length(), 80)));
    }

    private void onStart(ExportLine.Start start) {
        if (started || !ExportLine.FORMAT.equals(start.format())) {
            find(Kind.STRUCTURE, "a second start line, or another format");
        }
        started = true;
        expectedOffset = start.firstOffset();
    }

    private void onOutside(ExportLine.Outside outside) {
        String place =
                "offset " + outside.offset() + ", writer " + outside.header().writer();
        takeOffset(outside.offset());
        Batch headerOnly = new Batch(outside.header(), List.of());
        if (!headerOnly.hasValidSignature(keys)) {
            find(Kind.SIGNATURE, place);
        }
        chains.next(outside.header(), place, findings, gaps);
    }

    private void takeOffset(long offset) {
        if (!started || ended && offset != expectedOffset) {
            find(Kind.STRUCTURE, "offset " + offset + " before the start line or after the end line");
        } else if (offset != expectedOffset) {
            find(Kind.OFFSETS, "offset " + offset + " where " + expectedOffset + " is expected");
        }
        expectedOffset = offset + 1;
    }

    private void find(Kind kind, String detail) {
        findings.add(new Finding(kind, detail));
    }

    private Verification result() {
        if (!started || !ended) {
            find(Kind.STRUCTURE, "the start line or the end line is missing");
        }
        gaps.addAll(chains.openEnds(lastTimeMillis));
        return new Verification(findings, gaps, batches, records);
    }
}
