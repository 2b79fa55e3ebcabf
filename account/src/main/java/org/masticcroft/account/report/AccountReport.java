package org.masticcroft.account.report;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.masticcroft.account.batch.Batch;
import org.masticcroft.account.batch.BatchCodec;
import org.masticcroft.account.export.ExportReader;
import org.masticcroft.account.key.VerificationKeys;
import org.masticcroft.account.record.AuditRecord;
import org.masticcroft.account.record.DispatchRecord;
import org.masticcroft.account.record.RequestRecord;
import org.masticcroft.account.verify.AccountVerifier;
import org.masticcroft.account.verify.Verification;

/**
 * Summary of an exported account.
 *
 * @param groups figures by model, version, customer and rank
 * @param perHour number of requests by the hour of their arrival
 * @param withoutEntryRecord requests that only sidecars report, because the entry's record was lost
 * @param verification result of the verification, with the stated gaps
 */
public record AccountReport(
        SortedMap<GroupKey, Figures> groups,
        SortedMap<Instant, Long> perHour,
        List<String> withoutEntryRecord,
        Verification verification) {

    /** Copies the collections. */
    public AccountReport {
        groups = new TreeMap<>(groups);
        perHour = new TreeMap<>(perHour);
        withoutEntryRecord = List.copyOf(withoutEntryRecord);
        Objects.requireNonNull(verification, "verification");
    }

    /**
     * Reads and verifies a file.
     *
     * @throws IOException if the file cannot be read
     */
    public static AccountReport of(Path file, VerificationKeys keys) throws IOException {
        Verification verification = AccountVerifier.verify(file, keys);
        Collector collector = new Collector();
        ExportReader.of(file).read((line, batch) -> collector.accept(batch));
        return collector.report(verification);
    }

    private static final class Collector {
        private static final String NONE = "-";

        private final Map<GroupKey, Figures> groups = new HashMap<>();
        private final SortedMap<Instant, Long> perHour = new TreeMap<>();
        private final Set<String> entryRecords = new HashSet<>();
        private final Set<String> evidence = new HashSet<>();

        void accept(Batch batch) {
            batch.lines().stream().map(BatchCodec::parseRecord).forEach(this::accept);
        }

        private void accept(AuditRecord record) {
            if (record instanceof RequestRecord request) {
                entryRecords.add(request.requestId());
                groups.merge(key(request), Figures.of(request), Figures::plus);
                perHour.merge(request.arrival().truncatedTo(ChronoUnit.HOURS), 1L, Long::sum);
            } else if (record instanceof DispatchRecord dispatch) {
                evidence.add(dispatch.requestId());
            }
        }

        private static GroupKey key(RequestRecord request) {
            return new GroupKey(
                    request.model().orElse(request.target().isEmpty() ? NONE : request.target()),
                    request.version().orElse(NONE),
                    request.customer().isEmpty() ? NONE : request.customer(),
                    request.rank().isEmpty() ? NONE : request.rank());
        }

        AccountReport report(Verification verification) {
            List<String> evidenceOnly = evidence.stream()
                    .filter(id -> !entryRecords.contains(id))
                    .sorted()
                    .toList();
            return new AccountReport(new TreeMap<>(groups), perHour, evidenceOnly, verification);
        }
    }

    /**
     * What the figures are grouped by.
     *
     * @param model name of the model, or of the plain service
     * @param version name of the version
     * @param customer name of the customer
     * @param rank name of the rank
     */
    public record GroupKey(String model, String version, String customer, String rank) implements Comparable<GroupKey> {
        private static final Comparator<GroupKey> ORDER = Comparator.comparing(GroupKey::model)
                .thenComparing(GroupKey::version)
                .thenComparing(GroupKey::customer)
                .thenComparing(GroupKey::rank);

        @Override
        public int compareTo(GroupKey other) {
            return ORDER.compare(this, other);
        }
    }

    /**
     * Figures of a group.
     *
     * @param served requests that ran and were answered in full
     * @param failed requests that ran and failed
     * @param refused requests that were not run
     * @param uncertain requests that may have run
     * @param totalMillis sum of the durations of the served requests in milliseconds
     */
    public record Figures(long served, long failed, long refused, long uncertain, long totalMillis) {
        static Figures of(RequestRecord request) {
            boolean error = request.errorCode().isPresent();
            long millis = Duration.between(request.arrival(), request.end()).toMillis();
            return switch (request.verdict()) {
                case RAN -> error ? new Figures(0, 1, 0, 0, 0) : new Figures(1, 0, 0, 0, millis);
                case NOT_RUN -> new Figures(0, 0, 1, 0, 0);
                case MAY_HAVE_RUN -> new Figures(0, 0, 0, 1, 0);
            };
        }

        Figures plus(Figures other) {
            return new Figures(
                    served + other.served,
                    failed + other.failed,
                    refused + other.refused,
                    uncertain + other.uncertain,
                    totalMillis + other.totalMillis);
        }

        /** Returns the mean duration of the served requests in milliseconds; 0 if there are none. */
        public long meanMillis() {
            return served == 0 ? 0 : totalMillis / served;
        }
    }
}
