package org.masticcroft.gateway.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.masticcroft.gateway.account.AccountRecorder;
import org.masticcroft.gateway.config.ColdLimits;
import org.masticcroft.gateway.config.EngineProfile;
import org.masticcroft.gateway.config.GatewayConfig;
import org.masticcroft.gateway.config.UpstreamService;
import org.masticcroft.gateway.dispatch.UpstreamTable;
import org.masticcroft.gateway.fleet.Directory;
import org.masticcroft.gateway.fleet.DirectoryFollower;
import org.masticcroft.gateway.fleet.Evacuations;
import org.masticcroft.gateway.fleet.ExecutionPauses;
import org.masticcroft.gateway.fleet.FleetChange;
import org.masticcroft.gateway.fleet.ListingHistory;
import org.masticcroft.gateway.fleet.NamedVersions;
import org.masticcroft.gateway.fleet.StoreFreshness;
import org.masticcroft.gateway.fleet.UpstreamListing;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.loop.InputClock;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;

/** State of the fleet as an entry knows it: configuration, named weights, evacuations and listed upstreams. */
final class FleetState implements DirectoryFollower.Listener {
    private final TimeSource time;
    private final UpstreamTable upstreams;
    private final NamedVersions namedVersions;
    private final StoreFreshness storeFreshness;
    private final DecisionLog log;
    private final Consumer<String> newVersionListener;
    private final AccountRecorder account;
    private final InputClock inputs;
    private final ExecutionPauses pauses;
    private final ListingHistory listings;
    private final DeferredRemovals deferredRemovals;
    private final Evacuations evacuations = Evacuations.none();
    private Optional<GatewayConfig> config = Optional.empty();
    private boolean upstreamsDirectoryRead;
    private boolean operatorDirectoryRead;
    private OptionalLong operatorRecordsMissedSinceNanos = OptionalLong.empty();

    private FleetState(
            TimeSource time,
            InputClock inputs,
            UpstreamTable upstreams,
            NamedVersions namedVersions,
            StoreFreshness storeFreshness,
            DecisionLog log,
            Consumer<String> newVersionListener,
            AccountRecorder account) {
        this.time = time;
        this.inputs = inputs;
        this.pauses = ExecutionPauses.watch(time);
        this.upstreams = upstreams;
        this.listings = ListingHistory.empty(time);
        this.deferredRemovals = new DeferredRemovals(upstreams, listings);
        this.namedVersions = namedVersions;
        this.storeFreshness = storeFreshness;
        this.log = log;
        this.newVersionListener = newVersionListener;
        this.account = account;
    }

    static FleetState empty(
            TimeSource time,
            InputClock inputs,
            UpstreamTable upstreams,
            NamedVersions namedVersions,
            StoreFreshness storeFreshness,
            DecisionLog log,
            Consumer<String> newVersionListener,
            AccountRecorder account) {
        return new FleetState(time, inputs, upstreams, namedVersions, storeFreshness, log, newVersionListener, account);
    }

    Optional<GatewayConfig> config() {
        return config;
    }

    Evacuations evacuations() {
        return evacuations;
    }

    /** Returns the cost model of a service, if it has one. */
    Optional<EngineProfile> profile(String service) {
        return config.flatMap(published -> published.service(service)).flatMap(UpstreamService::profile);
    }

    /** Returns what a cold upstream of a service tolerates. */
    ColdLimits coldLimits(String service) {
        return config.flatMap(published -> published.service(service))
                .map(UpstreamService::cold)
                .orElse(ColdLimits.none());
    }

    /** Returns whether the configuration and the list of upstreams are known. */
    boolean complete() {
        return config.isPresent() && upstreamsDirectoryRead;
    }

    @Override
    public void snapshot(Directory directory, List<FleetChange> changes) {
        for (FleetChange change : changes) {
            if (change instanceof FleetChange.UpstreamListed listed) {
                applyListing(listed.listing(), listings.addFromFullRead(listed.listing()));
            } else if (!deferred(change)) {
                applyChange(directory, change);
            }
        }
        applyDeferredChanges(time.nanoTime());
        if (directory == Directory.OPERATOR) {
            operatorDirectoryRead = true;
            revokeMissingEvacuations(changes);
        } else {
            upstreamsDirectoryRead = true;
            List<String> ids = new ArrayList<>();
            changes.forEach(change -> {
                if (change instanceof FleetChange.UpstreamListed listed) {
                    ids.add(listed.listing().id());
                }
            });
            if (deferredRemovals.active()) {
                upstreams.listed().stream()
                        .map(upstream -> upstream.id())
                        .filter(id -> !ids.contains(id))
                        .forEach(deferredRemovals::addMissing);
                applyDeferredChanges(time.nanoTime());
            } else {
                upstreams.listed().stream()
                        .map(upstream -> upstream.id())
                        .filter(id -> !ids.contains(id))
                        .forEach(listings::remove);
                upstreams.retainAll(ids, time.nanoTime());
            }
        }
    }

    @Override
    public void changed(Directory directory, List<FleetChange> changes) {
        for (FleetChange change : changes) {
            applyChange(directory, change);
        }
        applyDeferredChanges(time.nanoTime());
    }

    @Override
    public void confirmed(Directory directory, long nanos) {
        if (directory == Directory.OPERATOR) {
            storeFreshness.confirmedAt(nanos);
            operatorRecordsMissedSinceNanos = OptionalLong.empty();
            evacuations.notRequestedAgain(nanos).forEach(this::revokeEvacuation);
        } else {
            deferredRemovals.confirmedAt(nanos);
        }
    }

    @Override
    public void storeRecovered(Directory directory) {
        if (directory == Directory.UPSTREAMS) {
            deferredRemovals.begin(time.nanoTime());
        }
    }

    @Override
    public void storeRestored(Directory directory) {
        if (directory == Directory.OPERATOR) {
            evacuations.storeRestored(time.nanoTime());
        } else {
            listings.storeRestored();
            deferredRemovals.beginAfterRestore(time.nanoTime());
        }
    }

    @Override
    public void recordsMissedSince(Directory directory, long nanos) {
        if (directory == Directory.OPERATOR) {
            operatorRecordsMissedSinceNanos = OptionalLong.of(nanos);
        }
    }

    /** Applies the deferred requests of evacuations and removals of upstreams that are due. */
    void applyDeferredChanges(long nowNanos) {
        evacuations.notRevokedAgain(nowNanos).forEach(this::requestEvacuation);
        deferredRemovals.apply(nowNanos);
    }

    private void applyChange(Directory directory, FleetChange change) {
        long now = time.nanoTime();
        if (change instanceof FleetChange.ConfigPublished published) {
            applyConfig(published.config());
        } else if (change instanceof FleetChange.WeightsNamed named) {
            recordNamedVersion(named.model(), named.version());
        } else if (change instanceof FleetChange.EvacuationRequested requested) {
            requestEvacuation(requested.dataCentre());
        } else if (change instanceof FleetChange.EvacuationRevoked revoked) {
            revokeEvacuation(revoked.dataCentre());
        } else if (change instanceof FleetChange.UpstreamListed listed) {
            applyListing(listed.listing(), listings.add(listed.listing()));
        } else if (change instanceof FleetChange.UpstreamRemoved removed) {
            if (deferredRemovals.active()) {
                deferredRemovals.add(removed.id());
            } else {
                removeUpstream(removed.id(), now);
            }
        } else if (change instanceof FleetChange.Unreadable unreadable) {
            log.write(Event.CONFIG_RECORD_IGNORED, "key", unreadable.key(), "reason", unreadable.reason());
            if (directory == Directory.UPSTREAMS) {
                // The newest record of this id names no upstream. It is replaced when the upstream writes again.
                deferredRemovals.cancel(unreadable.key());
                removeUpstream(unreadable.key(), now);
            }
        }
    }

    private void applyListing(UpstreamListing listing, boolean newest) {
        if (!newest) {
            log.write(
                    Event.LISTING_OUTDATED,
                    "upstream",
                    listing.id(),
                    "sequence",
                    listing.sequence(),
                    "leaving",
                    listing.leaving());
            return;
        }
        deferredRemovals.cancel(listing.id());
        // At the first read, the upstreams have been running for an unknown time, and their own statements count.
        Duration coldTime =
                upstreamsDirectoryRead ? coldLimits(listing.service()).time() : Duration.ZERO;
        upstreams.put(listing, coldTime, time.nanoTime());
    }

    private void removeUpstream(String id, long now) {
        listings.remove(id);
        upstreams.remove(id, now);
    }

    /** Applies a named version that a sidecar reported. */
    void applyNamedVersion(String model, long version) {
        recordNamedVersion(model, version);
    }

    /**
     * Applies what a sidecar states on the age of a version, for versions that were named before this process started.
     *
     * @param askedNanos monotonic time at which the sidecar was asked
     * @param statedAge longest time for which the version may have been named when it replied
     */
    void applyVersionAge(String model, long version, long askedNanos, Duration statedAge) {
        checkPauses();
        if (pauses.greatestAgeOfNews().isZero()
                && namedVersions.limitAge(model, version, statedAge.plus(time.since(askedNanos)))) {
            logNamedVersion(model, version);
        }
    }

    /** Looks for a pause of this process, in which versions may have been named. */
    void checkPauses() {
        namedVersions.addElapsed(pauses.check());
    }

    /** Returns how long ago the operator may have written a record that this process has just received. */
    private Duration greatestAgeOfNews() {
        checkPauses();
        Duration sinceConfirmation = storeFreshness.age();
        Duration paused = pauses.greatestAgeOfNews();
        Duration waited = inputs.longestWait();
        Duration delay = waited.compareTo(paused) > 0 ? waited : paused;
        if (operatorRecordsMissedSinceNanos.isPresent()) {
            Duration missed = time.since(operatorRecordsMissedSinceNanos.getAsLong());
            delay = missed.compareTo(delay) > 0 ? missed : delay;
        }
        return delay.compareTo(sinceConfirmation) < 0 ? delay : sinceConfirmation;
    }

    private void recordNamedVersion(String model, long version) {
        boolean newer = operatorDirectoryRead
                ? namedVersions.add(model, version, greatestAgeOfNews())
                : namedVersions.addNamedBeforeStart(model, version);
        if (newer) {
            account.recordChange("weights-named", Map.of("model", model, "version", Long.toString(version)));
            logNamedVersion(model, version);
            newVersionListener.accept(model);
        }
    }

    private void logNamedVersion(String model, long version) {
        long ageMillis = namedVersions.age(model, version).toMillis();
        log.write(Event.WEIGHTS_NAMED, "model", model, "version", version, "greatest_age_ms", ageMillis);
    }

    /** Returns whether a record of a full read takes effect later, since it may be older than what was read before. */
    private boolean deferred(FleetChange change) {
        if (change instanceof FleetChange.EvacuationRequested requested
                && evacuations.defer(requested.dataCentre(), time.nanoTime())) {
            log.write(Event.EVACUATION_DEFERRED, "data_centre", requested.dataCentre());
            return true;
        }
        return false;
    }

    private void requestEvacuation(String dataCentre) {
        if (evacuations.request(dataCentre, time.nanoTime())) {
            account.recordChange("evacuation-requested", Map.of("data-centre", dataCentre));
            log.write(Event.EVACUATION_REQUESTED, "data_centre", dataCentre);
        }
    }

    private void revokeEvacuation(String dataCentre) {
        if (evacuations.revoke(dataCentre, time.nanoTime())) {
            account.recordChange("evacuation-revoked", Map.of("data-centre", dataCentre));
            log.write(Event.EVACUATION_REVOKED, "data_centre", dataCentre);
        }
    }

    /** Revokes the evacuations whose records were deleted in a time that this process has not followed. */
    private void revokeMissingEvacuations(List<FleetChange> snapshot) {
        Set<String> requested = new HashSet<>();
        for (FleetChange change : snapshot) {
            if (change instanceof FleetChange.EvacuationRequested evacuation) {
                requested.add(evacuation.dataCentre());
            }
        }
        evacuations.revokedBy(requested).forEach(this::revokeEvacuation);
    }

    private void applyConfig(GatewayConfig published) {
        long current = config.map(GatewayConfig::version).orElse(-1L);
        if (published.version() <= current) {
            return;
        }
        config = Optional.of(published);
        account.recordChange("config-applied", Map.of("version", Long.toString(published.version())));
        log.write(Event.CONFIG_APPLIED, "version", published.version(), "previous", current);
    }
}
