package org.masticcroft.gateway.node;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import org.masticcroft.gateway.dispatch.CrashSuspects;
import org.masticcroft.gateway.dispatch.Upstream;
import org.masticcroft.gateway.dispatch.UpstreamTable;
import org.masticcroft.gateway.fleet.NamedVersions;
import org.masticcroft.gateway.generated.CrashEvidence;
import org.masticcroft.gateway.generated.Datagram;
import org.masticcroft.gateway.generated.EngineLoad;
import org.masticcroft.gateway.generated.NamedWeights;
import org.masticcroft.gateway.generated.Subscription;
import org.masticcroft.gateway.generated.Suspicion;
import org.masticcroft.gateway.generated.VersionAges;
import org.masticcroft.gateway.http.Address;
import org.masticcroft.gateway.load.DatagramPort;
import org.masticcroft.gateway.load.DatagramTraffic;
import org.masticcroft.gateway.load.LoadReport;
import org.masticcroft.kernel.time.TimeSource;

/**
 * Datagrams between an entry and the sidecars. The entry sends subscriptions, which carry the named versions of weights
 * and the fingerprints of requests that it suspects of crashing engines. The sidecars reply with the load of their
 * engines, the named versions that they know, and the suspects of the other entries.
 */
final class FleetDatagrams {
    private final NodeSettings settings;
    private final TimeSource time;
    private final DatagramPort port;
    private final FleetState fleet;
    private final UpstreamTable upstreams;
    private final NamedVersions namedVersions;
    private final CrashSuspects suspects;
    private final BiConsumer<Address, CrashEvidence> onEvidence;
    private final long startedNanos;

    FleetDatagrams(
            NodeSettings settings,
            TimeSource time,
            DatagramPort port,
            FleetState fleet,
            UpstreamTable upstreams,
            NamedVersions namedVersions,
            CrashSuspects suspects,
            BiConsumer<Address, CrashEvidence> onEvidence) {
        this.settings = settings;
        this.time = time;
        this.port = port;
        this.fleet = fleet;
        this.upstreams = upstreams;
        this.namedVersions = namedVersions;
        this.suspects = suspects;
        this.onEvidence = onEvidence;
        this.startedNanos = time.nanoTime();
    }

    /** Starts to receive datagrams. */
    void listen() {
        port.listen(settings.peerAddress(), this::handleDatagram);
    }

    /** Returns the counter of the datagrams that were sent. */
    DatagramTraffic traffic() {
        return port.traffic();
    }

    /** Sends a subscription to the sidecar of every listed engine; plain services have no engine profile. */
    void subscribe() {
        Subscription.Builder subscription = Subscription.newBuilder();
        namedVersions
                .newest()
                .forEach((model, version) -> subscription.addNamed(
                        NamedWeights.newBuilder().setModel(model).setVersion(version)));
        fleet.checkPauses();
        namedVersions.ages().forEach(version -> subscription.addAges(VersionStatements.encode(version)));
        if (namedVersions.ageUnknown()
                && time.since(startedNanos).compareTo(settings.bounds().versionChange()) < 0) {
            subscription.setAskedNanos(time.nanoTime());
        }
        subscription.addAllSuspects(suspects.fingerprintsToReport());
        for (Upstream upstream : upstreams.listed()) {
            if (fleet.profile(upstream.listing().service()).isPresent()) {
                subscription.setDoubtedStartMillis(
                        upstream.loadInDoubt() ? upstream.listing().startMillis() : 0);
                Datagram datagram =
                        Datagram.newBuilder().setSubscription(subscription).build();
                port.send(new Address(upstream.listing().address().ip(), settings.peerPort()), datagram);
            }
        }
    }

    /** Sends a datagram to a sidecar; it may be lost. */
    void send(Address sidecar, Datagram datagram) {
        port.send(sidecar, datagram);
    }

    /** Returns the addresses of the sidecars of all listed engines, in order. */
    List<Address> sidecars() {
        return upstreams.listed().stream()
                .filter(upstream -> fleet.profile(upstream.listing().service()).isPresent())
                .map(upstream -> upstream.listing().address().ip())
                .distinct()
                .sorted()
                .map(ip -> new Address(ip, settings.peerPort()))
                .toList();
    }

    private void handleDatagram(Address sender, Datagram datagram) {
        if (datagram.hasEvidence()) {
            onEvidence.accept(sender, datagram.getEvidence());
            return;
        }
        if (datagram.hasAges()) {
            VersionAges ages = datagram.getAges();
            // A reply to the process before this one states the time of another clock.
            boolean asked = ages.getAskedNanos() - startedNanos >= 0 && time.nanoTime() - ages.getAskedNanos() >= 0;
            if (asked) {
                VersionStatements.decode(ages.getVersionsList())
                        .forEach(stated -> fleet.applyVersionAge(
                                stated.model(), stated.version(), ages.getAskedNanos(), stated.greatestAge()));
            }
            return;
        }
        if (!datagram.hasLoad()) {
            return;
        }
        EngineLoad load = datagram.getLoad();
        LoadReport report = new LoadReport(
                load.getStartMillis(),
                load.getRunning(),
                load.getQueued(),
                load.getLoading(),
                load.getInDoubt(),
                load.getServedVersion() > 0 ? OptionalLong.of(load.getServedVersion()) : OptionalLong.empty(),
                Math.max(1, load.getPace()),
                Math.max(0, load.getEntries()),
                Math.max(0, Math.min(1, load.getMemoryUsed())));
        long now = time.nanoTime();
        upstreams.applyReport(new Address(sender.ip(), load.getPort()), report, now);
        load.getNamedList().forEach(named -> fleet.applyNamedVersion(named.getModel(), named.getVersion()));
        for (Suspicion suspicion : load.getSuspicionsList()) {
            if (!suspicion.getEntry().equals(settings.ip())) {
                suspects.recordReport(suspicion.getFingerprintsList(), suspicion.getEntry(), now);
            }
        }
    }
}
