package org.masticcroft.entry.peer;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.masticcroft.entry.request.EntryComponents;
import org.masticcroft.kernel.error.MasticcroftException;
import org.masticcroft.kernel.verdict.Verdict;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.instance.InstanceList;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.StatusRequest;

/**
 * Keeps the upstream table up to date from the instance list, the configuration and the status of sidecars that were
 * not heard from. {@link #poll} is called by one thread at a time.
 */
public final class StatusPoller {
    /** Time between two rounds; bounds how late a change of the instance list is seen. */
    public static final Duration INTERVAL = Duration.ofMillis(100);

    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final long EXCHANGE_NANOS = 2_000_000_000L;
    private static final int EXCHANGE_PEERS = 2;

    private final EntryComponents components;
    private final InstanceList instances;
    private final Consumer<String> unreachable;
    private long exchangedNanos;

    private StatusPoller(EntryComponents components, InstanceList instances, Consumer<String> unreachable) {
        this.components = components;
        this.instances = instances;
        this.unreachable = unreachable;
        this.exchangedNanos = components.time().nanoTime() - EXCHANGE_NANOS;
    }

    /**
     * Creates a poller on the shared objects of the entry.
     *
     * @param unreachable is told the instance id of a sidecar that does not answer any more; must not block
     */
    public static StatusPoller of(EntryComponents components, InstanceList instances, Consumer<String> unreachable) {
        return new StatusPoller(
                Objects.requireNonNull(components, "components"),
                Objects.requireNonNull(instances, "instances"),
                Objects.requireNonNull(unreachable, "unreachable"));
    }

    /** Runs one round. */
    public void poll() {
        components.deployments().observe(components.config().state());
        components
                .upstreams()
                .refresh(instances.instances(), components.config().state().config());
        components.upstreams().takeSilent().forEach(this::askStatus);
        if (components.time().nanoTime() - exchangedNanos >= EXCHANGE_NANOS) {
            exchangedNanos = components.time().nanoTime();
            exchangeWithEntries();
        }
        components.gate().pumpAll();
    }

    private void askStatus(Instance instance) {
        long askedNanos = components.time().nanoTime();
        Envelope.Builder request = Envelope.newBuilder()
                .setStatusRequest(StatusRequest.newBuilder()
                        .setInstance(components.settings().instance()));
        components.peers().call(PeerEntries.address(instance), request, TIMEOUT).whenComplete((reply, failure) -> {
            if (reply != null) {
                components.versions().onSeen(reply.getConfigVersion());
            }
            if (reply != null && reply.hasStatusReply()) {
                components.upstreams().onStatus(instance, reply.getStatusReply(), askedNanos);
            } else {
                boolean refused = failure != null && isRefused(failure);
                if (components.upstreams().onStatusFailure(instance, refused)) {
                    unreachable.accept(instance.id());
                }
            }
        });
    }

    private void exchangeWithEntries() {
        List<Instance> others = components.entries().others();
        int count = Math.min(EXCHANGE_PEERS, others.size());
        int start = others.isEmpty() ? 0 : components.random().nextInt(others.size());
        for (int i = 0; i < count; i++) {
            components.entries().exchangeStatus(others.get((start + i) % others.size()));
        }
    }

    private static boolean isRefused(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof MasticcroftException refused && refused.verdict() == Verdict.NOT_RUN;
    }
}
