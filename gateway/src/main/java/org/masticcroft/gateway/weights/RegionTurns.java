package org.masticcroft.gateway.weights;

import java.util.List;
import org.masticcroft.gateway.fleet.ExecutionPauses;
import org.masticcroft.gateway.fleet.NamedVersions;
import org.masticcroft.gateway.log.DecisionLog;
import org.masticcroft.gateway.node.NodeSettings;
import org.masticcroft.kernel.event.Event;
import org.masticcroft.kernel.time.TimeSource;

/** Gathers what {@link LoadTurn} needs to know about the region, and logs its decision whenever it changes. */
final class RegionTurns {
    private final NodeSettings settings;
    private final Peers peers;
    private final NamedVersions namedVersions;
    private final ExecutionPauses pauses;
    private final DecisionLog log;
    private boolean lastTurn;
    private long lastTarget;

    RegionTurns(NodeSettings settings, Peers peers, TimeSource time, DecisionLog log) {
        this.settings = settings;
        this.peers = peers;
        this.namedVersions = NamedVersions.empty(time);
        this.pauses = ExecutionPauses.watch(time);
        this.log = log;
    }

    /** Records a version that was named while this process was running. */
    void recordNamedVersion(String model, long version) {
        checkPauses();
        namedVersions.add(model, version, pauses.greatestAgeOfNews());
    }

    /** Records a version that was named before this process started. */
    void recordVersionNamedBeforeStart(String model, long version) {
        namedVersions.addNamedBeforeStart(model, version);
    }

    /** Looks for a pause of this process, in which versions may have been named. */
    void checkPauses() {
        namedVersions.addElapsed(pauses.check());
    }

    /** Returns the half of the region that the engine of this machine belongs to. */
    LoadTurn.Half half() {
        return halves().own();
    }

    /**
     * Returns whether the engine of this machine may load now.
     *
     * @param model name of the model
     * @param served version that the engine serves, 0 for none
     * @param target version to load
     */
    boolean mayLoad(String model, long served, long target) {
        long oldestAllowed = namedVersions
                .oldestAllowed(model, settings.bounds().olderVersionSends())
                .orElse(0);
        LoadTurn.Halves halves = halves();
        List<Long> others = peers.servedVersions(halves.others());
        boolean turn = LoadTurn.mayLoad(halves.own(), served, target, oldestAllowed, others);
        if (turn != lastTurn || target != lastTarget) {
            lastTurn = turn;
            lastTarget = target;
            log.write(
                    Event.LOAD_TURN,
                    "version",
                    target,
                    "load",
                    turn,
                    "half",
                    halves.own(),
                    "served",
                    served,
                    "oldest_allowed",
                    oldestAllowed,
                    "others_serve",
                    others);
        }
        return turn;
    }

    private LoadTurn.Halves halves() {
        return LoadTurn.Halves.of(
                settings.ip(), peers.regionMembers(settings.regions(), settings.regionOf(settings.zone())));
    }
}
