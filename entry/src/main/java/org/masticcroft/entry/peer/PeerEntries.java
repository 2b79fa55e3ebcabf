package org.masticcroft.entry.peer;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.masticcroft.entry.order.StoredAnswer;
import org.masticcroft.entry.version.VersionGate;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.instance.InstanceList;
import org.masticcroft.wire.PeerClient;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.OutcomeReply;
import org.masticcroft.wire.generated.OutcomeRequest;
import org.masticcroft.wire.generated.StatusRequest;
import org.masticcroft.wire.generated.SuspectNotice;

/** Client for the other entries of the instance list. Thread-safe; holds no lock. */
public final class PeerEntries {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final String self;
    private final InstanceList instances;
    private final PeerClient peers;
    private final VersionGate versions;

    private PeerEntries(String self, InstanceList instances, PeerClient peers, VersionGate versions) {
        this.self = self;
        this.instances = instances;
        this.peers = peers;
        this.versions = versions;
    }

    /**
     * Creates a client for the other entries.
     *
     * @param self instance id of this entry
     */
    public static PeerEntries of(String self, InstanceList instances, PeerClient peers, VersionGate versions) {
        return new PeerEntries(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(instances, "instances"),
                Objects.requireNonNull(peers, "peers"),
                Objects.requireNonNull(versions, "versions"));
    }

    /** Returns the other entries. */
    public List<Instance> others() {
        return instances.instances().stream()
                .filter(instance -> instance.role() == Instance.Role.ENTRY)
                .filter(instance -> !instance.id().equals(self))
                .toList();
    }

    /** Requests the stored answer of an order from its owner; empty if the owner is unreachable or no longer has it. */
    public CompletableFuture<Optional<StoredAnswer>> outcome(String owner, String keyDigest) {
        Optional<Instance> instance =
                others().stream().filter(other -> other.id().equals(owner)).findFirst();
        if (instance.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        Envelope.Builder request = Envelope.newBuilder()
                .setOutcomeRequest(OutcomeRequest.newBuilder().setKeyDigest(keyDigest));
        return peers.call(address(instance.get()), request, TIMEOUT)
                .thenApply(PeerEntries::toStoredAnswer)
                .exceptionally(failure -> Optional.empty());
    }

    /** Notifies all other entries of the crashes attributed to a fingerprint; a lost notice is harmless. */
    public void notifySuspect(String fingerprint, int crashCount) {
        others().forEach(other -> peers.call(
                address(other),
                Envelope.newBuilder()
                        .setSuspectNotice(SuspectNotice.newBuilder()
                                .setFingerprint(fingerprint)
                                .setCrashCount(crashCount)),
                TIMEOUT));
    }

    /** Requests the status of another entry; request and reply carry the configuration versions of both sides. */
    public void exchangeStatus(Instance other) {
        Envelope.Builder request = Envelope.newBuilder()
                .setStatusRequest(StatusRequest.newBuilder().setInstance(self));
        peers.call(address(other), request, TIMEOUT)
                .thenAccept(reply -> versions.onPeerVersion(reply.getConfigVersion()));
    }

    /** Returns the peer protocol address of an instance. */
    public static InetSocketAddress address(Instance instance) {
        return new InetSocketAddress(instance.host(), instance.peerPort());
    }

    private static Optional<StoredAnswer> toStoredAnswer(Envelope reply) {
        OutcomeReply outcome = reply.getOutcomeReply();
        return outcome.getFound()
                ? Optional.of(new StoredAnswer(outcome.getStatus(), outcome.getContentType(), bytes(outcome.getBody())))
                : Optional.empty();
    }

    private static byte[] bytes(ByteString body) {
        return body.toByteArray();
    }
}
