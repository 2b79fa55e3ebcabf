package org.masticcroft.entry.peer;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.masticcroft.entry.request.Services;
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

    private final Services services;
    private final InstanceList instances;
    private final Consumer<String> unreachable;
    private long exchangedNanos;

    private StatusPoller(Services services, InstanceList instances, Consumer<String> unreachable) {
        this.services = services;
        this.instances = instances;
        this.unreachable = unreachable;
        this.exchangedNanos = services.time().nanoTime() - EXCHANGE_NANOS;
    }

    /**
     * Creates a poller on the shared objects of the entry.
     *
     * @param unreachable is told the instance id of a sidecar that does not answer any more; must not block
     */
    public static StatusPoller of(Services services, InstanceList instances, Consumer<String> unreachable) {
        return new StatusPoller(
                Objects.requireNonNull(services, "services"),
                Objects.requireNonNull(instances, "instances"),
                Objects.requireNonNull(unreachable, "unreachable"));
    }

    /** Runs one round. */
    public void poll() {
        services.deployments().observe(services.config().state());
        services.upstreams()
                .refresh(instances.instances(), services.config().state().config());
        services.upstreams().startDueStatusRequests().forEach(this::askStatus);
        if (services.time().nanoTime() - exchangedNanos >= EXCHANGE_NANOS) {
            exchangedNanos = services.time().nanoTime();
            exchangeWithEntries();
        }
        services.gate().grantFreeSlots();
    }

    private void askStatus(Instance instance) {
        long askedNanos = services.time().nanoTime();
        Envelope.Builder request = Envelope.newBuilder()
                .setStatusRequest(StatusRequest.newBuilder()
                        .setInstance(services.settings().instance()));
        services.peers().call(PeerEntries.address(instance), request, TIMEOUT).whenComplete((reply, failure) -> {
            if (reply != null) {
                services.versions().onPeerVersion(reply.getConfigVersion());
            }
            if (reply != null && reply.hasStatusReply()) {
                services.upstreams().onStatus(instance, reply.getStatusReply(), askedNanos);
            } else {
                boolean refused = failure != null && isRefused(failure);
                if (services.upstreams().onStatusFailure(instance, refused)) {
                    unreachable.accept(instance.id());
                }
            }
        });
    }

    private void exchangeWithEntries() {
        List<Instance> others = services.entries().others();
        int count = Math.min(EXCHANGE_PEERS, others.size());
        int start = others.isEmpty() ? 0 : services.random().nextInt(others.size());
        for (int i = 0; i < count; i++) {
            services.entries().exchangeStatus(others.get((start + i) % others.size()));
        }
    }

    private static boolean isRefused(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof MasticcroftException refused && refused.verdict() == Verdict.NOT_RUN;
    }
}
