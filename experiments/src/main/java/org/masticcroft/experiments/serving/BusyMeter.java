package org.masticcroft.experiments.serving;

import java.util.Collection;
import org.masticcroft.experiments.replay.EngineFake;
import org.masticcroft.experiments.replay.EventLoop;

/** Measures which part of the slots of live engines is busy while requests wait. */
final class BusyMeter {
    private final EventLoop loop;
    private final Collection<EngineFake> engines;
    private long lastNanos;
    private boolean waited;
    private double busySlots;
    private double slots;
    private double busyIntegral;
    private double slotIntegral;

    BusyMeter(EventLoop loop, Collection<EngineFake> engines) {
        this.loop = loop;
        this.engines = engines;
    }

    /** Records the state after a change. */
    void update(int waiting) {
        if (waited) {
            busyIntegral += busySlots * (loop.now() - lastNanos);
            slotIntegral += slots * (loop.now() - lastNanos);
        }
        lastNanos = loop.now();
        waited = waiting > 0;
        busySlots = engines.stream().mapToInt(EngineFake::inFlight).sum();
        slots = engines.stream()
                .filter(engine -> !engine.isDead())
                .mapToInt(EngineFake::slots)
                .sum();
    }

    /** Returns the busy part; 1 if nothing ever waited. */
    double partWhileWaiting() {
        return slotIntegral == 0 ? 1 : busyIntegral / slotIntegral;
    }
}
