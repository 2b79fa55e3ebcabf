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
 * @param groups totals of requests by model, version, customer and rank
 * @param perHour number of requests by the hour of their arrival
 * @param withoutEntryRecord ids of requests that have records of sidecars only, because the entry's record was lost
 * @param verification result of the verification, including gaps
 */
public record AccountReport(
        SortedMap<GroupKey, Totals> groups,
        SortedMap<Instant, Long> perHour,
        List<String> withoutEntryRecord,
        Verification verification) {

    /** Rejects null and copies the collections. */
    public AccountReport {
        groups = new TreeMap<>(groups);
        perHour = new TreeMap<>(perHour);
        withoutEntryRecord = List.copyOf(withoutEntryRecord);
        Objects.requireNonNull(verification, "verification");
    }

    /**
     * Verifies an exported file and summarises its records.
     *
     * @throws IOException if the file cannot be read
     */
    public static AccountReport of(Path file, VerificationKeys keys) throws IOException {
        Verification verification = AccountVerifier.verify(file, keys);
        Collector collector = new Collector();
        ExportReader.of(file).read((line, batch) -> collector.accept(batch));
        return collector.toReport(verification);
    }

    private static final class Collector {
        private static final String NONE = "-";

        private final Map<GroupKey, Totals> groups = new HashMap<>();
        private final SortedMap<Instant, Long> perHour = new TreeMap<>();
        private final Set<String> entryRequestIds = new HashSet<>();
        private final Set<String> dispatchedRequestIds = new HashSet<>();

        void accept(Batch batch) {
            batch.lines().stream().map(BatchCodec::parseRecord).forEach(this::accept);
        }

        private void accept(AuditRecord record) {
            if (record instanceof RequestRecord request) {
                entryRequestIds.add(request.requestId());
                groups.merge(groupKey(request), Totals.of(request), Totals::plus);
                perHour.merge(request.arrival().truncatedTo(ChronoUnit.HOURS), 1L, Long::sum);
            } else if (record instanceof DispatchRecord dispatch) {
                dispatchedRequestIds.add(dispatch.requestId());
            }
        }

        private static GroupKey groupKey(RequestRecord request) {
            return new GroupKey(
                    request.model().orElse(request.target().isEmpty() ? NONE : request.target()),
                    request.version().orElse(NONE),
                    request.customer().isEmpty() ? NONE : request.customer(),
                    request.rank().isEmpty() ? NONE : request.rank());
        }

        AccountReport toReport(Verification verification) {
            List<String> withoutEntryRecord = dispatchedRequestIds.stream()
                    .filter(id -> !entryRequestIds.contains(id))
                    .sorted()
                    .toList();
            return new AccountReport(new TreeMap<>(groups), perHour, withoutEntryRecord, verification);
        }
    }

    /**
     * Key by which requests are grouped.
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
     * Totals of a group of requests.
     *
     * @param served number of requests that ran and were answered in full
     * @param failed number of requests that ran and failed
     * @param refused number of requests that were not run
     * @param uncertain number of requests that may have run
     * @param totalMillis sum of the durations of the served requests in milliseconds
     */
    public record Totals(long served, long failed, long refused, long uncertain, long totalMillis) {
        static Totals of(RequestRecord request) {
            boolean error = request.errorCode().isPresent();
            long millis = Duration.between(request.arrival(), request.end()).toMillis();
            return switch (request.verdict()) {
                case RAN -> error ? new Totals(0, 1, 0, 0, 0) : new Totals(1, 0, 0, 0, millis);
                case NOT_RUN -> new Totals(0, 0, 1, 0, 0);
                case MAY_HAVE_RUN -> new Totals(0, 0, 0, 1, 0);
            };
        }

        Totals plus(Totals other) {
            return new Totals(
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
