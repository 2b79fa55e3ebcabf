package org.masticcroft.gateway.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticcroft.gateway.dispatch.PartReport;
import org.masticcroft.gateway.generated.CrashEvidence;
import org.masticcroft.gateway.generated.Datagram;
import org.masticcroft.gateway.generated.EngineCrash;
import org.masticcroft.gateway.generated.SuspectedPart;

/** Translates between reports on suspected parts of prompts and their datagrams. */
final class EvidenceMessages {
    /** Maximum age of a report's times; older ones are of no use, and none overflows a time in nanoseconds. */
    private static final Duration MAX_AGE = Duration.ofDays(1);

    private EvidenceMessages() {}

    /**
     * Encodes reports.
     *
     * @param passOn whether a sidecar passes on to all entries what is new to it
     */
    static Datagram encode(List<PartReport> reports, boolean passOn) {
        CrashEvidence.Builder evidence = CrashEvidence.newBuilder().setPassOn(passOn);
        for (PartReport report : reports) {
            SuspectedPart.Builder part = SuspectedPart.newBuilder()
                    .setPart(report.part())
                    .setAnswerAge(report.answer().map(EvidenceMessages::millis).orElse(0L))
                    .setTrialAge(report.trial().map(EvidenceMessages::millis).orElse(0L))
                    .setActivityAge(millis(report.activity()));
            report.crashes()
                    .forEach((process, age) -> part.addCrashes(
                            EngineCrash.newBuilder().setProcess(process).setAge(millis(age))));
            evidence.addParts(part);
        }
        return Datagram.newBuilder().setEvidence(evidence).build();
    }

    static List<PartReport> decode(CrashEvidence evidence) {
        return evidence.getPartsList().stream().map(EvidenceMessages::decode).toList();
    }

    private static PartReport decode(SuspectedPart part) {
        Map<Long, Duration> crashes = new HashMap<>();
        for (EngineCrash crash : part.getCrashesList()) {
            crashes.put(crash.getProcess(), duration(crash.getAge()));
        }
        return new PartReport(
                part.getPart(),
                crashes,
                age(part.getAnswerAge()),
                age(part.getTrialAge()),
                duration(part.getActivityAge()));
    }

    private static long millis(Duration age) {
        return Math.max(1, age.toMillis());
    }

    private static Optional<Duration> age(long millis) {
        return millis == 0 ? Optional.empty() : Optional.of(duration(millis));
    }

    private static Duration duration(long millis) {
        return Duration.ofMillis(Math.max(0, Math.min(MAX_AGE.toMillis(), millis)));
    }
}
