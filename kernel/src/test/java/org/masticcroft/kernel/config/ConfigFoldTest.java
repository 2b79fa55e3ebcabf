package org.masticcroft.kernel.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.masticcroft.kernel.config.ConfigFold.Outcome;

class ConfigFoldTest {
    private static final String SEED = "20261204";

    private enum Kind {
        UPDATE,
        DUPLICATE,
        SNAPSHOT,
        UNDECODABLE
    }

    /** An append by a writer that last read the stream {@code lag} records ago. */
    private record Append(Kind kind, int lag) {}

    /** A stream and, for each prefix of it, the fold of a reader that started at offset 0. */
    private record Stream(List<Optional<ConfigRecord>> records, List<ConfigFold> folds) {
        private static Stream of(List<Append> appends) {
            Stream stream = new Stream(new ArrayList<>(), new ArrayList<>(List.of(ConfigFold.empty())));
            appends.forEach(stream::append);
            return stream;
        }

        private void append(Append append) {
            int length = records.size();
            ConfigState lastRead = folds.get(Math.max(0, length - append.lag())).state();
            Optional<ConfigRecord> next = switch (append.kind()) {
                case UPDATE -> Optional.of(update("p" + length, lastRead.version()));
                case DUPLICATE ->
                    length == 0 ? Optional.of(update("p0", 0)) : records.get(Math.max(0, length - 1 - append.lag()));
                case SNAPSHOT ->
                    lastRead.version() == 0 ? Optional.empty() : Optional.of(ConfigRecord.Snapshot.of(lastRead));
                case UNDECODABLE -> Optional.empty();
            };
            records.add(next);
            folds.add(read(folds.get(length), length));
        }

        private ConfigFold read(ConfigFold fold, int offset) {
            return records.get(offset)
                    .map(entry -> fold.fold(offset, entry).fold())
                    .orElseGet(() -> fold.skip(offset));
        }

        /** Returns the fold that a reader from offset 0 has at the same position. */
        private ConfigFold referenceFor(ConfigFold fold) {
            return folds.get((int) fold.position());
        }
    }

    private static ConfigRecord.Update update(String publishId, long base) {
        TreeMap<String, CustomerConfig> customers = new TreeMap<>();
        customers.put(publishId, new CustomerConfig(1, 0));
        FleetConfig config = new FleetConfig(null, customers, null, null, null, null, null, null, null);
        return new ConfigRecord.Update(publishId, base, "", config);
    }

    @Provide
    Arbitrary<List<Append>> appends() {
        Arbitrary<Kind> kinds = Arbitraries.of(
                Kind.UPDATE, Kind.UPDATE, Kind.UPDATE, Kind.DUPLICATE, Kind.SNAPSHOT, Kind.SNAPSHOT, Kind.UNDECODABLE);
        Arbitrary<Integer> lags = Arbitraries.integers().between(0, 6);
        return Combinators.combine(kinds, lags).as(Append::new).list().ofMaxSize(40);
    }

    private static void assertAgrees(Stream stream, ConfigFold fold) {
        if (fold.isSynchronised()) {
            ConfigState expected = stream.referenceFor(fold).state();
            assertThat(fold.state()).isEqualTo(expected);
        }
    }

    /** Guards against concurrent updates of the same base that both take effect, or of which the later one wins. */
    @Property(seed = SEED)
    void onlyTheFirstOfConcurrentUpdatesTakesEffect(@ForAll("appends") List<Append> appends) {
        Stream stream = Stream.of(appends);
        long version = 0;
        for (int i = 0; i < stream.records().size(); i++) {
            ConfigState after = stream.folds().get(i + 1).state();
            boolean takesEffect = stream.records().get(i).orElse(null) instanceof ConfigRecord.Update update
                    && update.base() == version;
            version += takesEffect ? 1 : 0;
            assertThat(after.version()).isEqualTo(version);
        }
    }

    /** Guards against an update that takes effect twice because its publisher appended it again. */
    @Property(seed = SEED)
    void noPublishIdTakesEffectTwice(@ForAll("appends") List<Append> appends) {
        Stream stream = Stream.of(appends);
        Set<String> applied = new HashSet<>();
        for (int i = 0; i < stream.records().size(); i++) {
            boolean changed = stream.folds().get(i).state().version()
                    < stream.folds().get(i + 1).state().version();
            if (changed) {
                String id = ((ConfigRecord.Update) stream.records().get(i).orElseThrow()).publishId();
                assertThat(applied.add(id)).as("first effect of %s", id).isTrue();
            }
        }
    }

    /** Guards against a reader that acts on an update whose base it cannot check, or on a stale snapshot. */
    @Property(seed = SEED)
    void readersFromAnyRetainedOffsetAgreeOrHaveNoVersion(
            @ForAll("appends") List<Append> appends, @ForAll @IntRange(max = 40) int earliest) {
        Stream stream = Stream.of(appends);
        ConfigFold fold = ConfigFold.empty().withEarliestOffset(earliest);
        for (int offset = earliest; offset < stream.records().size(); offset++) {
            fold = stream.read(fold, offset);
            assertThat(fold.isSynchronised()).isEqualTo(fold.state().version() > 0 || earliest == 0);
            assertAgrees(stream, fold);
        }
    }

    /** Guards against a version that decreases after lost records, and against updates applied across the gap. */
    @Property(seed = SEED)
    void readersThatLoseRecordsNeverLowerTheVersionAndAgreeAgain(
            @ForAll("appends") List<Append> appends,
            @ForAll @IntRange(max = 40) int recordsRead,
            @ForAll @IntRange(max = 20) int recordsLost) {
        Stream stream = Stream.of(appends);
        int size = stream.records().size();
        int readUpTo = Math.min(recordsRead, size);
        ConfigFold fold = stream.folds().get(readUpTo);
        for (int offset = Math.min(readUpTo + recordsLost, size); offset < size; offset++) {
            ConfigFold next = stream.read(fold, offset);
            assertThat(next.state().version())
                    .isGreaterThanOrEqualTo(fold.state().version());
            assertAgrees(stream, next);
            fold = next;
        }
    }

    /** Guards against a peer's snapshot that lowers the version or makes the reader disagree with the log. */
    @Property(seed = SEED)
    void peerSnapshotsNeverLowerTheVersionAndAgreeWithTheLog(
            @ForAll("appends") List<Append> appends,
            @ForAll @IntRange(max = 40) int earliest,
            @ForAll @IntRange(max = 40) int recordsReadByPeer,
            @ForAll @IntRange(max = 40) int offeredAtOffset) {
        Stream stream = Stream.of(appends);
        int size = stream.records().size();
        ConfigState offer =
                stream.folds().get(Math.min(recordsReadByPeer, size)).state();
        ConfigFold fold = ConfigFold.empty().withEarliestOffset(Math.min(earliest, size));
        for (int offset = Math.min(earliest, size); offset <= size; offset++) {
            if (offset >= offeredAtOffset && offer.version() > 0) {
                ConfigFold adopted = fold.adopt(ConfigRecord.Snapshot.of(offer)).fold();
                assertThat(adopted.state().version())
                        .isGreaterThanOrEqualTo(fold.state().version());
                assertThat(adopted.state().version()).isGreaterThanOrEqualTo(offer.version());
                fold = adopted;
                assertAgrees(stream, fold);
            }
            if (offset < size) {
                fold = stream.read(fold, offset);
                assertAgrees(stream, fold);
            }
        }
    }

    /** Guards against a snapshot of another stream that replaces the state of this reader. */
    @Property(seed = SEED, tries = 1)
    void aSnapshotThatContradictsTheStreamHasNoEffect() {
        ConfigFold fold = ConfigFold.empty().fold(0, update("p0", 0)).fold();
        ConfigRecord.Snapshot foreign = new ConfigRecord.Snapshot(9, 0, FleetConfig.empty());
        assertThat(fold.fold(1, foreign).outcome()).isEqualTo(Outcome.SNAPSHOT_CONFLICTING);
        assertThat(fold.fold(1, foreign).fold().state().version()).isEqualTo(1);
        assertThat(fold.adopt(foreign).outcome()).isEqualTo(Outcome.SNAPSHOT_CONFLICTING);
    }
}
