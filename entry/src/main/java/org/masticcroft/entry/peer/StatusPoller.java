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
 * Updates the upstream table from the instance list, the configuration and the status of sidecars, and exchanges the
 * configuration version with other entries. {@link #poll} must be called by one thread at a time.
 */
public final class StatusPoller {
    /** Time between two polls; bounds the delay with which a change of the instance list takes effect. */
    public static final Duration INTERVAL = Duration.ofMillis(100);

    private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(1);
    private static final long ENTRY_EXCHANGE_INTERVAL_NANOS = 2_000_000_000L;
    private static final int ENTRIES_PER_EXCHANGE = 2;

    private final Services services;
    private final InstanceList instances;
    private final Consumer<String> onUnreachable;
    private long lastExchangeNanos;

    private StatusPoller(Services services, InstanceList instances, Consumer<String> onUnreachable) {
        this.services = services;
        this.instances = instances;
        this.onUnreachable = onUnreachable;
        this.lastExchangeNanos = services.time().nanoTime() - ENTRY_EXCHANGE_INTERVAL_NANOS;
    }

    /**
     * Creates a poller.
     *
     * @param onUnreachable called with the instance id of a sidecar that became unreachable; must not block
     */
    public static StatusPoller of(Services services, InstanceList instances, Consumer<String> onUnreachable) {
        return new StatusPoller(
                Objects.requireNonNull(services, "services"),
                Objects.requireNonNull(instances, "instances"),
                Objects.requireNonNull(onUnreachable, "onUnreachable"));
    }

    /** Updates the table, sends the status requests that are due and grants free slots. */
    public void poll() {
        services.deployments().observe(services.config().state());
        services.upstreams()
                .refresh(instances.instances(), services.config().state().config());
        services.upstreams().startDueStatusRequests().forEach(this::requestStatus);
        if (services.time().nanoTime() - lastExchangeNanos >= ENTRY_EXCHANGE_INTERVAL_NANOS) {
            lastExchangeNanos = services.time().nanoTime();
            exchangeWithEntries();
        }
        services.gate().grantFreeSlots();
    }

    private void requestStatus(Instance instance) {
        long requestedNanos = services.time().nanoTime();
        Envelope.Builder request = Envelope.newBuilder()
                .setStatusRequest(StatusRequest.newBuilder()
                        .setInstance(services.settings().instance()));
        services.peers()
                .call(PeerEntries.address(instance), request, STATUS_TIMEOUT)
                .whenComplete((reply, failure) -> {
                    if (reply != null) {
                        services.versions().onPeerVersion(reply.getConfigVersion());
                    }
                    if (reply != null && reply.hasStatusReply()) {
                        services.upstreams().onStatus(instance, reply.getStatusReply(), requestedNanos);
                    } else {
                        boolean connectionRefused = failure != null && isConnectionRefused(failure);
                        if (services.upstreams().onStatusFailure(instance, connectionRefused)) {
                            onUnreachable.accept(instance.id());
                        }
                    }
                });
    }

    private void exchangeWithEntries() {
        List<Instance> others = services.entries().others();
        int count = Math.min(ENTRIES_PER_EXCHANGE, others.size());
        int start = others.isEmpty() ? 0 : services.random().nextInt(others.size());
        for (int i = 0; i < count; i++) {
            services.entries().exchangeStatus(others.get((start + i) % others.size()));
        }
    }

    private static boolean isConnectionRefused(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof MasticcroftException exception && exception.verdict() == Verdict.NOT_RUN;
    }
}
