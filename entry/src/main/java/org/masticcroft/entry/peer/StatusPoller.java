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
 * Updates the upstream table from the instance list, the configuration and the status of sidecars, and exchanges the
 * configuration version with other entries. {@link #poll} must be called by one thread at a time.
 */
public final class StatusPoller {
    /** Time between two polls; bounds the delay with which a change of the instance list takes effect. */
    public static final Duration INTERVAL = Duration.ofMillis(100);

    private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(1);
    private static final long ENTRY_EXCHANGE_INTERVAL_NANOS = 2_000_000_000L;
    private static final int ENTRIES_PER_EXCHANGE = 2;

    private final EntryComponents components;
    private final InstanceList instances;
    private final Consumer<String> onUnreachable;
    private long lastExchangeNanos;

    private StatusPoller(EntryComponents components, InstanceList instances, Consumer<String> onUnreachable) {
        this.components = components;
        this.instances = instances;
        this.onUnreachable = onUnreachable;
        this.lastExchangeNanos = components.time().nanoTime() - ENTRY_EXCHANGE_INTERVAL_NANOS;
    }

    /**
     * Creates a poller.
     *
     * @param onUnreachable called with the instance id of a sidecar that became unreachable; must not block
     */
    public static StatusPoller of(EntryComponents components, InstanceList instances, Consumer<String> onUnreachable) {
        return new StatusPoller(
                Objects.requireNonNull(components, "components"),
                Objects.requireNonNull(instances, "instances"),
                Objects.requireNonNull(onUnreachable, "onUnreachable"));
    }

    /** Updates the table, sends the status requests that are due and grants free slots. */
    public void poll() {
        components.deployments().observe(components.config().state());
        components
                .upstreams()
                .refresh(instances.instances(), components.config().state().config());
        components.upstreams().startDueStatusRequests().forEach(this::requestStatus);
        if (components.time().nanoTime() - lastExchangeNanos >= ENTRY_EXCHANGE_INTERVAL_NANOS) {
            lastExchangeNanos = components.time().nanoTime();
            exchangeWithEntries();
        }
        components.gate().grantFreeSlots();
    }

    private void requestStatus(Instance instance) {
        long requestedNanos = components.time().nanoTime();
        Envelope.Builder request = Envelope.newBuilder()
                .setStatusRequest(StatusRequest.newBuilder()
                        .setInstance(components.settings().instance()));
        components
                .peers()
                .call(PeerEntries.address(instance), request, STATUS_TIMEOUT)
                .whenComplete((reply, failure) -> {
                    if (reply != null) {
                        components.versions().onPeerVersion(reply.getConfigVersion());
                    }
                    if (reply != null && reply.hasStatusReply()) {
                        components.upstreams().onStatus(instance, reply.getStatusReply(), requestedNanos);
                    } else {
                        boolean connectionRefused = failure != null && isConnectionRefused(failure);
                        if (components.upstreams().onStatusFailure(instance, connectionRefused)) {
                            onUnreachable.accept(instance.id());
                        }
                    }
                });
    }

    private void exchangeWithEntries() {
        List<Instance> others = components.entries().others();
        int count = Math.min(ENTRIES_PER_EXCHANGE, others.size());
        int start = others.isEmpty() ? 0 : components.random().nextInt(others.size());
        for (int i = 0; i < count; i++) {
            components.entries().exchangeStatus(others.get((start + i) % others.size()));
        }
    }

    private static boolean isConnectionRefused(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof MasticcroftException exception && exception.verdict() == Verdict.NOT_RUN;
    }
}
