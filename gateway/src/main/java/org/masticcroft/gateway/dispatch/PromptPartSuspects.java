package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Parts of prompts that may crash each upstream that begins a response to them, whatever else the request holds. A part
 * is suspected if a request with it was unanswered at an upstream that crashed, and cleared by the next response that
 * begins to a request with it. A part that enough crashes have in common, and that no response has cleared, is
 * quarantined.
 *
 * <p>Each crash has a single cause, so a part whose crashes are all explained by a part with more crashes is not
 * quarantined. The processes of the fleet merge what they know; merging is idempotent, and its order does not matter.
 * Used on the event loop only.
 */
public final class PromptPartSuspects {
    /** Number of crashes from which a part that was never part of an answered request is quarantined. */
    private static final int CRASHES_TO_QUARANTINE = 2;

    /** The same for a part that was, so that the other parts of the requests with a crashing part are cleared first. */
    private static final int CRASHES_TO_QUARANTINE_ANSWERED = 4;

    /** Number of crashes beyond the quarantine from which a part is no longer released soon on trial. */
    private static final int CRASHES_TO_PROVE = 1;

    /** Crashes closer than this count once, because they are likely to share a cause such as a loss of power. */
    private static final Duration SIMULTANEOUS = Duration.ofMillis(60);

    /** Time after the last crash or trial at which a request with a quarantined part is let through on trial. */
    private static final Duration TRIAL_PAUSE = Duration.ofSeconds(3);

    /** The same for a part whose crashes leave little doubt; it doubles with each further crash. */
    private static final Duration PROVEN_TRIAL_PAUSE = Duration.ofMinutes(2);

    /** Maximum doublings of the pause between trials; the pause stays below the retention. */
    private static final int MAX_PAUSE_DOUBLINGS = 4;

    /** Time without a crash or a refusal after which a quarantined part is forgotten. */
    private static final Duration QUARANTINE_RETENTION = Duration.ofHours(1);

    /** The same for a part with crashes that are too few for a quarantine. */
    private static final Duration SUSPICION_RETENTION = Duration.ofMinutes(2);

    /** The same for a part that was cleared; the other processes have learned of it by then. */
    private static final Duration CLEARED_RETENTION = Duration.ofSeconds(10);

    /**
     * A reported time is newer than a known one only if it is by more than this. Each report adds its time in transit,
     * so that a time would advance without end if processes reported it to each other.
     */
    private static final Duration REPORT_TOLERANCE = Duration.ofMillis(250);

    /** Maximum number of suspected parts that are remembered. */
    private static final int MAX_SUSPECTS = 64;

    /** Maximum number of suspected parts that are reported; their reports fit into one datagram. */
    private static final int MAX_REPORTS = 16;

    /** Maximum number of crashes that are remembered of a part, the newest ones. */
    private static final int MAX_CRASHES = 8;

    /** Maximum number of parts of answered requests that are remembered. */
    private static final int MAX_ANSWERED = 4096;

    /** The part that most likely is at fault comes first. */
    private static final Comparator<Suspect> BY_EVIDENCE = Comparator.comparingInt(
                    (Suspect suspect) -> suspect.crashCount())
            .reversed()
            .thenComparing(suspect -> suspect.answerNanos.isPresent());

    private final Map<Long, Suspect> suspects = new HashMap<>();

    /** Time of the last answer by part, in the order of the answers. */
    private final Map<Long, Long> answered = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_ANSWERED;
        }
    };

    private Set<Long> quarantined = Set.of();

    private PromptPartSuspects() {}

    /** Creates an empty table. */
    public static PromptPartSuspects empty() {
        return new PromptPartSuspects();
    }

    /** Returns the number of suspected parts. */
    public int suspected() {
        return suspects.size();
    }

    /** Returns the ids of the quarantined parts. */
    public Set<Long> quarantined() {
        return quarantined;
    }

    /**
     * Records the crash of an upstream at which a request was unanswered.
     *
     * @param parts shared parts of the prompt of the request
     * @param process process of the upstream; requests that see the same crash name the same process
     * @param nowNanos monotonic time of the crash in nanoseconds
     */
    public void recordCrash(Collection<Long> parts, long process, long nowNanos) {
        for (long part : parts) {
            find(part, nowNanos).ifPresent(suspect -> {
                suspect.recordActivity(nowNanos);
                suspect.addCrash(process, nowNanos);
            });
        }
        update(nowNanos);
    }

    /**
     * Records that a response to a request began.
     *
     * @return whether this changes which parts are quarantined
     */
    public boolean recordAnswer(Collection<Long> parts, long nowNanos) {
        boolean cleared = false;
        for (long part : parts) {
            answered.put(part, nowNanos);
            Suspect suspect = suspects.get(part);
            if (suspect != null) {
                cleared |= !suspect.crashes.isEmpty();
                suspect.addAnswer(nowNanos);
            }
        }
        Set<Long> quarantinedBefore = quarantined;
        if (cleared) {
            update(nowNanos);
        }
        return !quarantined.equals(quarantinedBefore);
    }

    /**
     * Returns whether a request must not be sent to any upstream now. A part is remembered as long as requests with it
     * are refused.
     */
    public boolean refuses(Collection<Long> parts, long nowNanos) {
        List<Suspect> held = held(parts);
        held.forEach(suspect -> suspect.recordActivity(nowNanos));
        return !held.isEmpty() && !trialDue(held, parts, nowNanos);
    }

    /**
     * Decides whether a request may be sent to an upstream now, and records the decision. A request with quarantined
     * parts is let through from time to time, since a part that is not at fault can be cleared only by an answer.
     *
     * @return whether the request may be sent
     */
    public boolean admit(Collection<Long> parts, long nowNanos) {
        List<Suspect> held = held(parts);
        boolean admitted = held.isEmpty() || trialDue(held, parts, nowNanos);
        held.forEach(suspect -> suspect.recordRequest(admitted, nowNanos));
        return admitted;
    }

    /**
     * Returns whether a request that was unanswered at an upstream that crashed may be sent to another one: all its
     * parts were in requests that were answered.
     */
    public boolean mayResend(Collection<Long> parts) {
        return parts.stream().allMatch(part -> !quarantined.contains(part) && wasAnswered(part));
    }

    /** Returns whether an upstream crashed on a request with one of the parts, and no answer has cleared it since. */
    public boolean anySuspected(Collection<Long> parts) {
        return parts.stream()
                .anyMatch(part -> quarantined.contains(part)
                        || (suspects.containsKey(part)
                                && !suspects.get(part).crashes.isEmpty()));
    }

    /** Returns what the other processes should know. */
    public List<PartReport> reports(long nowNanos) {
        update(nowNanos);
        return suspects.values().stream()
                .filter(Suspect::reportable)
                .sorted(Comparator.<Suspect>comparingInt(suspect -> quarantined.contains(suspect.part) ? 0 : 1)
                        .thenComparing(Comparator.comparingInt((Suspect suspect) -> suspect.crashCount())
                                .reversed())
                        .thenComparing(Comparator.comparingLong((Suspect suspect) -> suspect.activityNanos - nowNanos)
                                .reversed()))
                .limit(MAX_REPORTS)
                .map(suspect -> suspect.report(nowNanos))
                .toList();
    }

    /** Returns what the other processes should know of some parts. */
    public List<PartReport> reports(Collection<Long> parts, long nowNanos) {
        return parts.stream()
                .map(suspects::get)
                .filter(suspect -> suspect != null && suspect.reportable())
                .limit(MAX_REPORTS)
                .map(suspect -> suspect.report(nowNanos))
                .toList();
    }

    /** Merges what another process knows. */
    public Merged merge(List<PartReport> reports, long nowNanos) {
        Set<Long> learned = new HashSet<>();
        Set<Long> unknownToSender = new HashSet<>();
        for (PartReport report : reports.subList(0, Math.min(MAX_SUSPECTS, reports.size()))) {
            find(report.part(), nowNanos - report.activity().toNanos()).ifPresent(suspect -> {
                if (suspect.knowsNewerAnswer(report, nowNanos)) {
                    unknownToSender.add(report.part());
                }
                if (suspect.merge(report, nowNanos)) {
                    learned.add(report.part());
                }
            });
        }
        if (!learned.isEmpty()) {
            update(nowNanos);
        }
        return new Merged(learned, unknownToSender);
    }

    /**
     * Result of merging what another process knows.
     *
     * @param learned parts of which this process has learned something of weight
     * @param unknownToSender parts that the other process suspects although this one knows of a newer answer
     */
    public record Merged(Set<Long> learned, Set<Long> unknownToSender) {
        public Merged {
            learned = Set.copyOf(learned);
            unknownToSender = Set.copyOf(unknownToSender);
        }
    }

    /** Returns the suspect of a part, a new one if there is none; empty if the table is full of stronger ones. */
    private Optional<Suspect> find(long part, long activityNanos) {
        Suspect known = suspects.get(part);
        if (known == null) {
            if (suspects.size() >= MAX_SUSPECTS && !evictWeakest()) {
                return Optional.empty();
            }
            known = new Suspect(part, activityNanos);
            suspects.put(part, known);
            Long answerNanos = answered.get(part);
            if (answerNanos != null) {
                known.addAnswer(answerNanos);
            }
        }
        return Optional.of(known);
    }

    private boolean evictWeakest() {
        Optional<Suspect> weakest = suspects.values().stream()
                .filter(suspect -> !quarantined.contains(suspect.part))
                .min(Comparator.comparingInt((Suspect suspect) -> suspect.crashCount())
                        .thenComparingLong(suspect -> suspect.activityNanos));
        weakest.ifPresent(suspect -> suspects.remove(suspect.part));
        return weakest.isPresent();
    }

    private boolean wasAnswered(long part) {
        Suspect suspect = suspects.get(part);
        return answered.containsKey(part) || (suspect != null && suspect.answerNanos.isPresent());
    }

    private List<Suspect> held(Collection<Long> parts) {
        if (quarantined.isEmpty()) {
            return List.of();
        }
        return parts.stream().filter(quarantined::contains).map(suspects::get).toList();
    }

    private boolean trialDue(List<Suspect> held, Collection<Long> parts, long nowNanos) {
        return held.stream()
                .allMatch(suspect -> tellsApart(suspect, parts)
                        ? suspect.trialDueSince(TRIAL_PAUSE, nowNanos)
                        : suspect.trialDue(held.size(), nowNanos));
    }

    /**
     * Returns whether a request has one of several parts that were in the same crashes, but not all of them, so that
     * its answer shows which one is at fault.
     */
    private boolean tellsApart(Suspect suspect, Collection<Long> parts) {
        return quarantined.stream()
                .filter(part -> !parts.contains(part))
                .anyMatch(part -> suspects.get(part).crashes.keySet().equals(suspect.crashes.keySet()));
    }

    /**
     * Determines the quarantined parts in the order of their crashes, those that were never answered first. Parts with
     * equal evidence cannot be told apart yet.
     */
    private void update(long nowNanos) {
        suspects.values()
                .removeIf(suspect ->
                        nowNanos - suspect.activityNanos > retention(suspect).toNanos());
        List<Suspect> candidates = suspects.values().stream()
                .filter(suspect -> suspect.crashCount() >= suspect.crashesToQuarantine())
                .sorted(BY_EVIDENCE)
                .toList();
        Set<Long> parts = new HashSet<>();
        Set<Long> explained = new HashSet<>();
        List<Suspect> equals = new ArrayList<>();
        for (int i = 0; i < candidates.size(); i++) {
            Suspect suspect = candidates.get(i);
            if (suspect.crashCount(explained) >= suspect.crashesToQuarantine()) {
                parts.add(suspect.part);
                equals.add(suspect);
            }
            if (i + 1 == candidates.size() || BY_EVIDENCE.compare(suspect, candidates.get(i + 1)) < 0) {
                equals.forEach(equal -> explained.addAll(equal.crashes.keySet()));
                equals.clear();
            }
        }
        quarantined = Set.copyOf(parts);
    }

    private Duration retention(Suspect suspect) {
        if (quarantined.contains(suspect.part)) {
            return QUARANTINE_RETENTION;
        }
        return suspect.crashes.isEmpty() ? CLEARED_RETENTION : SUSPICION_RETENTION;
    }

    private static final class Suspect {
        private final long part;
        private final Map<Long, Long> crashes = new HashMap<>();
        private OptionalLong answerNanos = OptionalLong.empty();
        private OptionalLong trialNanos = OptionalLong.empty();
        private long activityNanos;

        private Suspect(long part, long activityNanos) {
            this.part = part;
            this.activityNanos = activityNanos;
        }

        /** Adds a crash unless an answer since then has cleared the part of it. */
        private void addCrash(long process, long crashNanos) {
            if (answerNanos.isEmpty() || crashNanos - answerNanos.getAsLong() > 0) {
                crashes.merge(process, crashNanos, (first, second) -> first - second < 0 ? first : second);
            }
            if (crashes.size() > MAX_CRASHES) {
                crashes.entrySet().stream()
                        .min(Comparator.comparingLong(crash -> crash.getValue() - crashNanos))
                        .ifPresent(oldest -> crashes.remove(oldest.getKey()));
            }
        }

        private void addAnswer(long nanos) {
            answerNanos = OptionalLong.of(answerNanos.isEmpty() ? nanos : later(answerNanos.getAsLong(), nanos));
            crashes.values().removeIf(crashNanos -> crashNanos - answerNanos.getAsLong() <= 0);
        }

        private void addTrial(long nanos) {
            trialNanos = OptionalLong.of(trialNanos.isEmpty() ? nanos : later(trialNanos.getAsLong(), nanos));
        }

        private void recordActivity(long nanos) {
            activityNanos = later(activityNanos, nanos);
        }

        private void recordRequest(boolean admitted, long nowNanos) {
            recordActivity(nowNanos);
            if (admitted) {
                addTrial(nowNanos);
            }
        }

        private int crashesToQuarantine() {
            return answerNanos.isEmpty() ? CRASHES_TO_QUARANTINE : CRASHES_TO_QUARANTINE_ANSWERED;
        }

        private boolean reportable() {
            return !crashes.isEmpty() || answerNanos.isPresent();
        }

        private int crashCount() {
            return crashCount(Set.of());
        }

        /**
         * Returns the number of crashes at distinct times, without those of the given processes. The times are counted
         * from the last counted one, so that further crashes never lower the number.
         */
        private int crashCount(Set<Long> explained) {
            long[] times = crashes.entrySet().stream()
                    .filter(crash -> !explained.contains(crash.getKey()))
                    .mapToLong(Map.Entry::getValue)
                    .sorted()
                    .toArray();
            int count = 0;
            long countedNanos = 0;
            for (long crashNanos : times) {
                if (count == 0 || crashNanos - countedNanos > SIMULTANEOUS.toNanos()) {
                    count++;
                    countedNanos = crashNanos;
                }
            }
            return count;
        }

        /** A request with several quarantined parts tells less about each of them, so its trial comes later. */
        private boolean trialDue(int heldParts, long nowNanos) {
            Duration pause = trialPause().multipliedBy(heldParts);
            return trialDueSince(pause, nowNanos)
                    && crashes.values().stream().allMatch(crashNanos -> nowNanos - crashNanos >= pause.toNanos());
        }

        private boolean trialDueSince(Duration pause, long nowNanos) {
            return trialNanos.isEmpty() || nowNanos - trialNanos.getAsLong() >= pause.toNanos();
        }

        private Duration trialPause() {
            int beyond = crashCount() - crashesToQuarantine();
            return beyond < CRASHES_TO_PROVE
                    ? TRIAL_PAUSE
                    : PROVEN_TRIAL_PAUSE.multipliedBy(1L << Math.min(MAX_PAUSE_DOUBLINGS, beyond - CRASHES_TO_PROVE));
        }

        private PartReport report(long nowNanos) {
            Map<Long, Duration> ages = new HashMap<>();
            crashes.forEach((process, nanos) -> ages.put(process, Duration.ofNanos(nowNanos - nanos)));
            return new PartReport(
                    part,
                    ages,
                    age(answerNanos, nowNanos),
                    age(trialNanos, nowNanos),
                    Duration.ofNanos(nowNanos - activityNanos));
        }

        private boolean knowsNewerAnswer(PartReport report, long nowNanos) {
            return !report.crashes().isEmpty() && isNewer(answerNanos, reportedNanos(report.answer(), nowNanos));
        }

        /** Returns whether the report told this process something. */
        private boolean merge(PartReport report, long nowNanos) {
            Set<Long> crashesBefore = Set.copyOf(crashes.keySet());
            boolean answered = answerNanos.isPresent();
            OptionalLong reportedAnswer = reportedNanos(report.answer(), nowNanos);
            OptionalLong reportedTrial = reportedNanos(report.trial(), nowNanos);
            OptionalLong reportedActivity =
                    OptionalLong.of(nowNanos - report.activity().toNanos());
            if (isNewer(reportedActivity, OptionalLong.of(activityNanos))) {
                recordActivity(reportedActivity.getAsLong());
            }
            boolean newTrial = isNewer(reportedTrial, trialNanos);
            if (isNewer(reportedAnswer, answerNanos)) {
                addAnswer(reportedAnswer.getAsLong());
            }
            report.crashes().forEach((process, age) -> addCrash(process, nowNanos - age.toNanos()));
            if (newTrial) {
                addTrial(reportedTrial.getAsLong());
            }
            return !crashesBefore.equals(crashes.keySet()) || answered != answerNanos.isPresent() || newTrial;
        }

        private static OptionalLong reportedNanos(Optional<Duration> age, long nowNanos) {
            return age.map(reported -> OptionalLong.of(nowNanos - reported.toNanos()))
                    .orElse(OptionalLong.empty());
        }

        private static boolean isNewer(OptionalLong nanos, OptionalLong thanNanos) {
            return nanos.isPresent()
                    && (thanNanos.isEmpty() || nanos.getAsLong() - thanNanos.getAsLong() > REPORT_TOLERANCE.toNanos());
        }

        private static Optional<Duration> age(OptionalLong nanos, long nowNanos) {
            return nanos.isPresent() ? Optional.of(Duration.ofNanos(nowNanos - nanos.getAsLong())) : Optional.empty();
        }
    }

    private static long later(long first, long second) {
        return first - second > 0 ? first : second;
    }
}
