package org.masticcroft.gateway.node;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.masticcroft.gateway.dispatch.PartReport;
import org.masticcroft.gateway.dispatch.PromptPartSuspects;
import org.masticcroft.gateway.generated.CrashEvidence;
import org.masticcroft.gateway.generated.Datagram;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.kernel.time.TimeSource;

/** Exchanges evidence on parts of prompts that crash engines with the sidecars. Used on the event loop only. */
final class EntryEvidence {
    /**
     * Sidecars that the evidence goes to at a time; each passes it on to all entries. One would do, but sidecars may be
     * down, cut off or slow.
     */
    private static final int RECIPIENTS = 4;

    /** Time for which evidence is collected before it is sent. */
    private static final Duration DELAY = Duration.ofMillis(5);

    /** Least time between two datagrams with news, so that many crashes at once share them. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(100);

    private final TimeSource time;
    private final PromptPartSuspects promptParts;
    private final Supplier<List<Address>> sidecars;
    private final BiConsumer<Address, Datagram> sender;
    private final BiConsumer<Runnable, Duration> scheduler;
    private final TakeTurns<Address> recipients = TakeTurns.of(RECIPIENTS);
    private final Set<Long> news = new LinkedHashSet<>();
    private long newsAllowedNanos;

    /**
     * Creates the exchange of an entry.
     *
     * @param time time source
     * @param promptParts evidence of the entry
     * @param sidecars returns the addresses of all sidecars, in the same order while they are the same
     * @param sender sends a datagram
     * @param scheduler runs a task on the event loop after a delay
     */
    EntryEvidence(
            TimeSource time,
            PromptPartSuspects promptParts,
            Supplier<List<Address>> sidecars,
            BiConsumer<Address, Datagram> sender,
            BiConsumer<Runnable, Duration> scheduler) {
        this.time = time;
        this.promptParts = promptParts;
        this.sidecars = sidecars;
        this.sender = sender;
        this.scheduler = scheduler;
        this.newsAllowedNanos = time.nanoTime();
    }

    /**
     * Tells the other entries what this one has seen itself. They do not tell it on, so that the datagrams for a piece
     * of news do not grow with the product of entries and sidecars.
     */
    void tell(Collection<Long> parts) {
        boolean scheduled = !news.isEmpty();
        news.addAll(parts);
        if (!scheduled && !news.isEmpty()) {
            Duration pause = Duration.ofNanos(newsAllowedNanos - time.nanoTime());
            scheduler.accept(this::sendNews, pause.compareTo(DELAY) > 0 ? pause : DELAY);
        }
    }

    private void sendNews() {
        newsAllowedNanos = time.nanoTime() + MIN_INTERVAL.toNanos();
        Datagram datagram = EvidenceMessages.encode(promptParts.reports(news, time.nanoTime()), true);
        news.clear();
        if (datagram.getEvidence().getPartsCount() > 0) {
            recipients.next(sidecars.get()).forEach(sidecar -> sender.accept(sidecar, datagram));
        }
    }

    /**
     * Exchanges all evidence with the next few sidecars. To be called from time to time, because datagrams may be lost
     * and entries start anew.
     */
    void exchange() {
        Datagram datagram = EvidenceMessages.encode(promptParts.reports(time.nanoTime()), false);
        recipients.next(sidecars.get()).forEach(sidecar -> sender.accept(sidecar, datagram));
    }

    /** Merges what a sidecar sends, and replies with newer answers; returns whether this entry learned something. */
    boolean receive(Address sidecar, CrashEvidence evidence) {
        long now = time.nanoTime();
        PromptPartSuspects.Merged merged = promptParts.merge(EvidenceMessages.decode(evidence), now);
        List<PartReport> answered = promptParts.reports(merged.unknownToSender(), now);
        if (!answered.isEmpty()) {
            sender.accept(sidecar, EvidenceMessages.encode(answered, true));
        }
        return !merged.learned().isEmpty();
    }
}
