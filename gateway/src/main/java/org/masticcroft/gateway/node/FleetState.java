package org.masticcroft.gateway.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.masticcroft.gateway.account.RequestAccount;
import org.masticcroft.gateway.config.EngineProfile;
import org.masticcroft.gateway.config.GatewayConfig;
import org.masticcroft.gateway.config.UpstreamService;
import org.masticcroft.gateway.dispatch.UpstreamTable;
import org.masticcroft.gateway.fleet.Directory;
import org.masticcroft.gateway.fleet.DirectoryFollower;
import org.masticcroft.gateway.fleet.FleetChange;
import org.masticcroft.gateway.fleet.NamedVersions;
import org.masticcroft.gateway.fleet.StoreFreshness;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;

/** What an entry believes about the fleet: configuration, named weights and listed upstreams. */
final class FleetState implements DirectoryFollower.Listener {
    /**
     * Time after the return of the store in which removals wait. Entries that lapsed while it was away are listed again
     * within about two seconds.
     */
    private static final Duration LAPSE_GRACE = Duration.ofMillis(2200);

    private final TimeSource time;
    private final UpstreamTable upstreams;
    private final NamedVersions weights;
    private final StoreFreshness contact;
    private final DecisionLog log;
    private final Consumer<String> weightsNamed;
    private final RequestAccount account;
    private final List<String> heldRemovals = new ArrayList<>();
    private Optional<GatewayConfig> config = Optional.empty();
    private boolean upstreamsRead;
    private boolean operatorRead;
    private boolean holding;
    private long holdUntilNanos;

    private FleetState(
            TimeSource time,
            UpstreamTable upstreams,
            NamedVersions weights,
            StoreFreshness contact,
            DecisionLog log,
            Consumer<String> weightsNamed,
            RequestAccount account) {
        this.time = time;
        this.upstreams = upstreams;
        this.weights = weights;
        this.contact = contact;
        this.log = log;
        this.weightsNamed = weightsNamed;
        this.account = account;
    }

    static FleetState empty(
            TimeSource time,
            UpstreamTable upstreams,
            NamedVersions weights,
            StoreFreshness contact,
            DecisionLog log,
            Consumer<String> weightsNamed,
            RequestAccount account) {
        return new FleetState(time, upstreams, weights, contact, log, weightsNamed, account);
    }

    Optional<GatewayConfig> config() {
        return config;
    }

    /** Returns the cost model of a service, if it has one. */
    Optional<EngineProfile> profile(String service) {
        return config.flatMap(published -> published.service(service)).flatMap(UpstreamService::profile);
    }

    boolean complete() {
        return config.isPresent() && upstreamsRead;
    }

    @Override
    public void snapshot(Directory directory, List<FleetChange> changes) {
        changed(directory, changes);
        if (directory == Directory.OPERATOR) {
            operatorRead = true;
        } else {
            upstreamsRead = true;
            List<String> ids = new ArrayList<>();
            changes.forEach(change -> {
                if (change instanceof FleetChange.UpstreamListed listed) {
                    ids.add(listed.listing().id());
                }
            });
            if (holding) {
                upstreams.listed().stream()
                        .map(upstream -> upstream.id())
                        .filter(id -> !ids.contains(id))
                        .forEach(heldRemovals::add);
            } else {
                upstreams.retainAll(ids, time.nanoTime());
            }
        }
    }

    @Override
    public void changed(Directory directory, List<FleetChange> changes) {
        for (FleetChange change : changes) {
            apply(change);
        }
    }

    @Override
    public void confirmed(Directory directory, long nanos) {
        if (directory == Directory.OPERATOR) {
            contact.confirmedAt(nanos);
        }
    }

    @Override
    public void storeRecovered(Directory directory) {
        if (directory == Directory.UPSTREAMS) {
            holding = true;
            holdUntilNanos = time.nanoTime() + LAPSE_GRACE.toNanos();
        }
    }

    /** Applies the removals that waited for the return of lapsed entries. */
    void releaseHeld(long nowNanos) {
        if (holding && nowNanos - holdUntilNanos >= 0) {
            holding = false;
            List.copyOf(heldRemovals).forEach(id -> upstreams.remove(id, nowNanos));
            heldRemovals.clear();
        }
    }

    private void apply(FleetChange change) {
        long now = time.nanoTime();
        if (change instanceof FleetChange.ConfigPublished published) {
            applyConfig(published.config());
        } else if (change instanceof FleetChange.WeightsNamed named) {
            weightsNamed(named.model(), named.version());
        } else if (change instanceof FleetChange.UpstreamListed listed) {
            heldRemovals.remove(listed.listing().id());
            upstreams.put(listed.listing(), now);
        } else if (change instanceof FleetChange.UpstreamRemoved removed) {
            if (holding) {
                heldRemovals.add(removed.id());
            } else {
                upstreams.remove(removed.id(), now);
            }
        } else if (change instanceof FleetChange.Unreadable unreadable) {
            log.write(Event.CONFIG_RECORD_IGNORED, "key", unreadable.key(), "reason", unreadable.reason());
        }
    }

    /** Applies a named version that another process told of. */
    void named(String model, long version) {
        weightsNamed(model, version);
    }

    private void weightsNamed(String model, long version) {
        boolean newer = operatorRead ? weights.add(model, version) : weights.addNamedBeforeStart(model, version);
        if (newer) {
            account.changed("weights-named", Map.of("model", model, "version", Long.toString(version)));
            log.write(Event.WEIGHTS_NAMED, "model", model, "version", version);
            weightsNamed.accept(model);
        }
    }

    private void applyConfig(GatewayConfig published) {
        long current = config.map(GatewayConfig::version).orElse(-1L);
        if (published.version() <= current) {
            return;
        }
        config = Optional.of(published);
        account.changed("config-applied", Map.of("version", Long.toString(published.version())));
        log.write(Event.CONFIG_APPLIED, "version", published.version(), "previous", current);
    }
}
