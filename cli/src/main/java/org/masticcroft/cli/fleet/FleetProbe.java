package org.masticcroft.cli.fleet;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.masticcroft.kernel.config.ConfigRecord;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.wire.generated.ConfigRequest;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.StatusReply;
import org.masticcroft.wire.generated.StatusRequest;

/** Asks the listed instances about themselves. */
public final class FleetProbe {
    private final Platform platform;

    private FleetProbe(Platform platform) {
        this.platform = platform;
    }

    /** Creates a probe of the fleet of a platform. */
    public static FleetProbe of(Platform platform) {
        return new FleetProbe(Objects.requireNonNull(platform, "platform"));
    }

    /**
     * Requests the status of all listed instances and returns it sorted by instance id; empty if the instance list
     * cannot be read.
     */
    public Optional<List<InstanceStatus>> statuses() {
        return platform.instances().map(this::statuses);
    }

    /** Returns the snapshot with the highest version that an instance offers; empty if none offers one. */
    public Optional<ConfigRecord.Snapshot> newestSnapshot() {
        List<CompletableFuture<Optional<ConfigRecord.Snapshot>>> replies =
                platform.instances().orElse(List.of()).stream()
                        .map(this::requestConfig)
                        .toList();
        return replies.stream()
                .flatMap(reply -> reply.join().stream())
                .max(Comparator.comparingLong(ConfigRecord.Snapshot::version)
                        .thenComparing(ConfigRecord.Snapshot::foldedThrough));
    }

    private List<InstanceStatus> statuses(List<Instance> instances) {
        List<CompletableFuture<InstanceStatus>> replies =
                instances.stream().map(this::requestStatus).toList();
        return replies.stream()
                .map(CompletableFuture::join)
                .sorted(Comparator.comparing(status -> status.instance().id()))
                .toList();
    }

    private CompletableFuture<InstanceStatus> requestStatus(Instance instance) {
        Envelope.Builder request = Envelope.newBuilder().setStatusRequest(StatusRequest.getDefaultInstance());
        return call(instance, request).handle((reply, failure) -> {
            boolean answered = failure == null && reply.hasStatusReply();
            Optional<StatusReply> status = answered ? Optional.of(reply.getStatusReply()) : Optional.empty();
            return new InstanceStatus(instance, status);
        });
    }

    private CompletableFuture<Optional<ConfigRecord.Snapshot>> requestConfig(Instance instance) {
        Envelope.Builder request = Envelope.newBuilder().setConfigRequest(ConfigRequest.getDefaultInstance());
        return call(instance, request)
                .handle((reply, failure) -> failure == null && reply.hasConfigReply()
                        ? ConfigRecord.decode(
                                        reply.getConfigReply().getSnapshot().toByteArray())
                                .filter(ConfigRecord.Snapshot.class::isInstance)
                                .map(ConfigRecord.Snapshot.class::cast)
                        : Optional.empty());
    }

    private CompletableFuture<Envelope> call(Instance instance, Envelope.Builder request) {
        InetSocketAddress address = new InetSocketAddress(instance.host(), instance.peerPort());
        return platform.peers().call(address, request, platform.peerTimeout());
    }
}
