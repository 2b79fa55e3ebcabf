package org.masticcroft.entry.admission;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.entry.upstream.Weights;
import org.masticcroft.kernel.admission.AdmissionQueue;
import org.masticcroft.kernel.admission.Ticket;
import org.masticcroft.ports.instance.Instance;

/**
 * A slot on an upstream, granted to one request.
 *
 * @param ticket ticket as returned by the queue
 * @param queue queue that accounts for the cost of the ticket
 * @param upstream name of the upstream
 * @param instance instance that runs its sidecar
 * @param weights weights that the request runs on; empty for a plain service
 * @param candidates number of candidates among which the chooser chose
 * @param candidateNames names of at most eight candidates
 * @param reason reason that the chooser gave
 * @param fingerprint fingerprint of the request
 */
public record Grant(
        Ticket ticket,
        AdmissionQueue queue,
        String upstream,
        Instance instance,
        Optional<Weights> weights,
        int candidates,
        List<String> candidateNames,
        String reason,
        String fingerprint) {
    public Grant {
        Objects.requireNonNull(ticket, "ticket");
        Objects.requireNonNull(instance, "instance");
        candidateNames = List.copyOf(candidateNames);
    }
}
