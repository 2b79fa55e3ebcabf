package org.masticcroft.gateway.node;

import java.util.Collection;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.masticcroft.gateway.dispatch.PartReport;
import org.masticcroft.gateway.dispatch.PromptPartSuspects;
import org.masticcroft.gateway.generated.CrashEvidence;
import org.masticcroft.gateway.generated.Datagram;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.kernel.time.TimeSource;

/** Keeps the entries' evidence on parts of prompts and passes it on. Used on the event loop only. */
final class SidecarEvidence {
    private final TimeSource time;
    private final Supplier<Collection<Address>> entries;
    private final BiConsumer<Address, Datagram> sender;
    private final PromptPartSuspects promptParts = PromptPartSuspects.empty();

    /**
     * Creates a sidecar's evidence, which is empty.
     *
     * @param time time source
     * @param entries returns the addresses of the subscribed entries
     * @param sender sends a datagram
     */
    SidecarEvidence(TimeSource time, Supplier<Collection<Address>> entries, BiConsumer<Address, Datagram> sender) {
        this.time = time;
        this.entries = entries;
        this.sender = sender;
    }

    /** Merges the evidence of an entry, passes it on to all entries if it is new, and replies with the rest. */
    void receive(Address entry, CrashEvidence evidence) {
        long now = time.nanoTime();
        boolean changed = promptParts.merge(EvidenceMessages.decode(evidence), now);
        List<PartReport> reports = promptParts.reports(now);
        if (reports.isEmpty()) {
            return;
        }
        Datagram datagram = EvidenceMessages.encode(reports);
        if (changed) {
            entries.get().forEach(other -> sender.accept(other, datagram));
        } else {
            sender.accept(entry, datagram);
        }
    }
}
