package org.masticcroft.gateway.node;

import java.util.Collection;
import java.util.HashSet;
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

    /**
     * Merges the evidence of an entry, and passes on what is new or replies with what is known, as it asks. A new
     * quarantine is passed on in any case, because it is rare and urgent.
     */
    void receive(Address entry, CrashEvidence evidence) {
        long now = time.nanoTime();
        Set<Long> quarantinedBefore = promptParts.quarantined();
        PromptPartSuspects.Merged merged = promptParts.merge(EvidenceMessages.decode(evidence), now);
        if (evidence.getPassOn()) {
            passOn(promptParts.reports(merged.learned(), now), entry);
            send(entry, promptParts.reports(merged.unknownToSender(), now));
        } else {
            Set<Long> newlyQuarantined = new HashSet<>(promptParts.quarantined());
            newlyQuarantined.removeAll(quarantinedBefore);
            passOn(promptParts.reports(newlyQuarantined, now), entry);
            send(entry, promptParts.reports(now));
        }
    }

    private void passOn(List<PartReport> news, Address sender) {
        entries.get().stream().filter(entry -> !entry.equals(sender)).forEach(entry -> send(entry, news));
    }

    private void send(Address entry, List<PartReport> reports) {
        if (!reports.isEmpty()) {
            sender.accept(entry, EvidenceMessages.encode(reports, false));
        }
    }
}
