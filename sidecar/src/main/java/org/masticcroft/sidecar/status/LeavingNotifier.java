package org.masticcroft.sidecar.status;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.event.EventLog;
import org.masticcroft.ports.instance.Instance;
import org.masticcroft.ports.instance.InstanceList;
import org.masticcroft.wire.PeerClient;
import org.masticcroft.wire.generated.Envelope;
import org.masticcroft.wire.generated.LeavingNotice;

/** Notifies the entries that this upstream is leaving. A lost notice is harmless, as the sidecar refuses new work. */
public final class LeavingNotifier {
    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(1);

    private final InstanceList instances;
    private final PeerClient client;
    private final String instance;
    private final String upstream;

    private LeavingNotifier(InstanceList instances, PeerClient client, String instance, String upstream) {
        this.instances = instances;
        this.client = client;
        this.instance = instance;
        this.upstream = upstream;
    }

    /** Creates the notifier of one sidecar. */
    public static LeavingNotifier of(InstanceList instances, PeerClient client, String instance, String upstream) {
        return new LeavingNotifier(
                Objects.requireNonNull(instances, "instances"),
                Objects.requireNonNull(client, "client"),
                Objects.requireNonNull(instance, "instance"),
                Objects.requireNonNull(upstream, "upstream"));
    }

    /** Sends a notice to every entry without waiting for the replies. */
    public void notifyEntries() {
        List<Instance> entries = instances.instances().stream()
                .filter(listed -> listed.role() == Instance.Role.ENTRY)
                .toList();
        EventLog.info(Event.LEAVING_NOTICE_SENT, "upstream", upstream, "entries", entries.size());
        entries.forEach(this::notifyEntry);
    }

    private void notifyEntry(Instance entry) {
        Envelope.Builder notice = Envelope.newBuilder()
                .setLeavingNotice(
                        LeavingNotice.newBuilder().setInstance(instance).setUpstream(upstream));
        client.call(new InetSocketAddress(entry.host(), entry.peerPort()), notice, REPLY_TIMEOUT)
                .exceptionally(failure -> {
                    EventLog.warn(Event.PEER_UNREACHABLE, "peer", entry.id(), "reason", failure.getMessage());
                    return null;
                });
    }
}
