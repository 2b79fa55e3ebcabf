package org.masticcroft.gateway.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.masticcroft.gateway.dispatch.PartReport;
import org.masticcroft.gateway.generated.CrashEvidence;
import org.masticcroft.gateway.generated.Datagram;
import org.masticcroft.gateway.generated.EngineCrash;
import org.masticcroft.gateway.generated.SuspectedPart;

/** Pattern: processes that exchange what they know of crashing parts of prompts. */
class EvidenceMessagesTest {
    /** Payload of a datagram that crosses a link in one packet. */
    private static final int PACKET_BYTES = 1400;

    // Guards against evidence that another process reads differently.
    @Test
    void arriveAsTheyWereSent() throws InvalidProtocolBufferException {
        List<PartReport> reports = List.of(
                new PartReport(
                        -7,
                        Map.of(1L, Duration.ofMillis(30), -2L, Duration.ofMillis(4000)),
                        Optional.of(Duration.ofMillis(5)),
                        Optional.empty(),
                        Duration.ofMillis(9)),
                new PartReport(8, Map.of(), Optional.empty(), Optional.of(Duration.ofMillis(1)), Duration.ofHours(1)));
        byte[] data = EvidenceMessages.encode(reports, true).toByteArray();
        assertThat(EvidenceMessages.decode(Datagram.parseFrom(data).getEvidence()))
                .isEqualTo(reports);
    }

    // Guards against a datagram with odd times that ends the process or is taken for a crash in the future.
    @Test
    void limitTheTimesThatTheyState() {
        CrashEvidence evidence = CrashEvidence.newBuilder()
                .addParts(SuspectedPart.newBuilder()
                        .setAnswerAge(Long.MAX_VALUE)
                        .setTrialAge(-5)
                        .addCrashes(EngineCrash.newBuilder().setProcess(1).setAge(Long.MIN_VALUE)))
                .build();
        PartReport report = EvidenceMessages.decode(evidence).get(0);
        assertThat(report.answer()).contains(Duration.ofDays(1));
        assertThat(report.trial()).contains(Duration.ZERO);
        assertThat(report.crashes()).containsEntry(1L, Duration.ZERO);
    }

    // Guards against datagrams that are split into packets, any of which may be lost.
    @Test
    void fitIntoOnePacket() {
        Map<Long, Duration> crashes = new HashMap<>();
        for (long process = 1; process <= 3; process++) {
            crashes.put(Long.MAX_VALUE / process, Duration.ofMinutes(1));
        }
        List<PartReport> reports = LongStream.range(0, 16)
                .mapToObj(part -> new PartReport(
                        Long.MAX_VALUE - part,
                        crashes,
                        Optional.of(Duration.ofMinutes(1)),
                        Optional.of(Duration.ofMinutes(1)),
                        Duration.ofMinutes(1)))
                .toList();
        assertThat(EvidenceMessages.encode(reports, true).toByteArray()).hasSizeLessThan(PACKET_BYTES);
    }
}
