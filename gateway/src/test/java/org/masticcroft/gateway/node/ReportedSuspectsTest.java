package org.masticcroft.gateway.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.generated.Datagram;
import org.masticcroft.gateway.generated.EngineLoad;
import org.masticcroft.gateway.generated.Suspicion;
import org.masticcroft.gateway.http.Address;

/** Pattern: requests of many entries fail at engines that break off. */
class ReportedSuspectsTest {
    private static final int ENTRIES = 15;
    private static final int SUSPECTS_OF_ENTRY = 60;

    /** Bytes of a datagram that a process reads as a whole. */
    private static final int BUFFER_BYTES = 2048;

    private final ReportedSuspects suspects = new ReportedSuspects("10.0.0.9".hashCode());

    private static Address entry(int number) {
        return new Address("10.1.0." + number, 7000);
    }

    private void recordAll() {
        for (int entry = 0; entry < ENTRIES; entry++) {
            long first = 1000L * entry;
            suspects.record(
                    entry(entry),
                    LongStream.range(first, first + SUSPECTS_OF_ENTRY).boxed().toList());
        }
    }

    // Guards against load reports that no entry can read, so that none knows which engines serve.
    @Test
    void fitIntoALoadReport() {
        recordAll();
        Datagram datagram = Datagram.newBuilder()
                .setLoad(EngineLoad.newBuilder().addAllSuspicions(suspects.next()))
                .build();
        assertThat(datagram.getSerializedSize()).isLessThan(BUFFER_BYTES / 2);
    }

    // Guards against suspicions that no report states because others come first.
    @Test
    void areAllStatedInTurn() {
        recordAll();
        Set<Long> stated = new HashSet<>();
        int reports = 0;
        while (stated.size() < ENTRIES * SUSPECTS_OF_ENTRY && reports < 100) {
            suspects.next().forEach(suspicion -> stated.addAll(suspicion.getFingerprintsList()));
            reports++;
        }
        assertThat(stated).hasSize(ENTRIES * SUSPECTS_OF_ENTRY);
        assertThat(reports).isLessThanOrEqualTo(ENTRIES * SUSPECTS_OF_ENTRY / ReportedSuspects.MAX_FINGERPRINTS + 1);
    }

    // Guards against failures that an entry counts one by one although they concern the same request.
    @Test
    void stateAllFailuresOfARequestTogether() {
        List<Long> fingerprints = new ArrayList<>();
        for (long fingerprint = 0; fingerprint < 50; fingerprint++) {
            fingerprints.addAll(List.of(fingerprint, fingerprint, fingerprint));
        }
        suspects.record(entry(1), fingerprints);
        for (int report = 0; report < 10; report++) {
            for (Suspicion suspicion : suspects.next()) {
                assertThat(suspicion.getFingerprintsList()).hasSizeGreaterThan(2);
                suspicion
                        .getFingerprintsList()
                        .forEach(fingerprint -> assertThat(suspicion.getFingerprintsList())
                                .filteredOn(fingerprint::equals)
                                .hasSize(3));
            }
        }
    }

    // Guards against suspicions of an entry that has stopped.
    @Test
    void ofEntriesThatNoLongerSubscribeAreForgotten() {
        suspects.record(entry(1), List.of(7L));
        suspects.record(entry(2), List.of(8L));
        suspects.retainAll(Set.of(entry(2)));
        assertThat(suspects.next())
                .singleElement()
                .satisfies(suspicion -> assertThat(suspicion.getEntry()).isEqualTo("10.1.0.2"));
        suspects.retainAll(Set.of());
        assertThat(suspects.next()).isEmpty();
    }
}
