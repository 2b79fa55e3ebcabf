package org.masticcroft.gateway.node;

import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
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

    private final TimeSource time;
    private final PromptPartSuspects promptParts;
    private final Supplier<List<Address>> sidecars;
    private final BiConsumer<Address, Datagram> sender;
    private final BiConsumer<Runnable, Duration> scheduler;
    private final TakeTurns<Address> recipients = TakeTurns.of(RECIPIENTS);
    private boolean pending;

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
    }

    /** Shares changed evidence with the other entries; changes that come close together share a datagram. */
    void changed() {
        if (!pending) {
            pending = true;
            scheduler.accept(
                    () -> {
                        pending = false;
                        exchange();
                    },
                    DELAY);
        }
    }

    /**
     * Sends the evidence to the next few sidecars, which reply with what they know. To be called from time to time,
     * because datagrams may be lost and entries start anew.
     */
    void exchange() {
        Datagram datagram = EvidenceMessages.encode(promptParts.reports(time.nanoTime()));
        recipients.next(sidecars.get()).forEach(sidecar -> sender.accept(sidecar, datagram));
    }

    /** Merges what a sidecar sends; returns whether that changed the evidence. */
    boolean receive(CrashEvidence evidence) {
        boolean changed = promptParts.merge(EvidenceMessages.decode(evidence), time.nanoTime());
        if (changed) {
            changed();
        }
        return changed;
    }
}
