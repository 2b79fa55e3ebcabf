package org.masticcroft.experiments.serving;

import java.util.Collection;
import org.masticcroft.experiments.replay.EventLoop;
import org.masticcroft.experiments.replay.FakeEngine;

/** Measures the fraction of the slots of live engines that is busy while requests wait. */
final class UtilizationMeter {
    private final EventLoop loop;
    private final Collection<FakeEngine> engines;
    private long lastNanos;
    private boolean hadWaiting;
    private double busySlots;
    private double liveSlots;
    private double busySlotNanos;
    private double liveSlotNanos;

    UtilizationMeter(EventLoop loop, Collection<FakeEngine> engines) {
        this.loop = loop;
        this.engines = engines;
    }

    /** Records the state after a change of the waiting or running requests. */
    void update(int waiting) {
        if (hadWaiting) {
            busySlotNanos += busySlots * (loop.nowNanos() - lastNanos);
            liveSlotNanos += liveSlots * (loop.nowNanos() - lastNanos);
        }
        lastNanos = loop.nowNanos();
        hadWaiting = waiting > 0;
        busySlots = engines.stream().mapToInt(FakeEngine::inFlight).sum();
        liveSlots = engines.stream()
                .filter(engine -> !engine.isDead())
                .mapToInt(FakeEngine::slots)
                .sum();
    }

    /** Returns the time-weighted busy fraction, or 1 if no request ever waited. */
    double whileWaiting() {
        return liveSlotNanos == 0 ? 1 : busySlotNanos / liveSlotNanos;
    }
}
