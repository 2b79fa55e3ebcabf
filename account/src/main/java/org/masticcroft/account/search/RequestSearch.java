package org.masticcroft.account.search;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.account.batch.Batch;
import org.masticcroft.account.batch.BatchCodec;
import org.masticcroft.account.export.ExportReader;
import org.masticcroft.account.read.AccountReader;
import org.masticcroft.account.record.AuditRecord;
import org.masticcroft.account.record.DispatchRecord;
import org.masticcroft.account.record.RequestRecord;
import org.masticcroft.ports.log.LogService;

/** Finds all records of one request, in the log or in an exported file. */
public final class RequestSearch {
    private final String requestId;
    private final List<DispatchRecord> dispatches = new ArrayList<>();
    private Optional<RequestRecord> request = Optional.empty();

    private RequestSearch(String requestId) {
        this.requestId = Objects.requireNonNull(requestId, "requestId");
    }

    /** Searches the records that the log retains. */
    public static RequestTrail inLog(LogService log, String requestId) {
        RequestSearch search = new RequestSearch(requestId);
        AccountReader.of(log).read(0, located -> search.accept(located.batch()));
        return search.toTrail();
    }

    /**
     * Searches an exported file.
     *
     * @throws IOException if the file cannot be read
     */
    public static RequestTrail inFile(Path file, String requestId) throws IOException {
        RequestSearch search = new RequestSearch(requestId);
        ExportReader.of(file).read((line, batch) -> search.accept(batch));
        return search.toTrail();
    }

    private void accept(Batch batch) {
        // Parsing every line would be slow, and most lines do not contain the request id.
        batch.lines().stream()
                .filter(line -> line.contains(requestId))
                .map(BatchCodec::parseRecord)
                .forEach(this::accept);
    }

    private void accept(AuditRecord record) {
        if (record instanceof RequestRecord match && match.requestId().equals(requestId)) {
            request = Optional.of(match);
        } else if (record instanceof DispatchRecord match && match.requestId().equals(requestId)) {
            dispatches.add(match);
        }
    }

    private RequestTrail toTrail() {
        dispatches.sort(Comparator.comparingInt(DispatchRecord::attempt));
        return new RequestTrail(request, dispatches);
    }
}
