package org.masticcroft.gateway.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.masticcroft.gateway.config.EngineProfile;

/** Chooses the upstream with the shortest predicted time to the first byte. */
public final class UpstreamChooser {
    /** Requests above the slots of an engine that the first rank may queue there, where they overtake others. */
    private static final int QUEUED_FIRST_RANK = 2;

    /** Requests for each slot that a plain service may hold; its own queue is short. */
    private static final int LOAD_PER_SLOT_PLAIN = 2;

    /** Added to the prediction for an upstream in another data centre; a stream there costs bytes between them. */
    private static final double OTHER_ZONE_MILLIS = 40;

    /** Added to the prediction for an upstream all of whose requests fail. */
    private static final double FAILING_MILLIS = 2000;

    /** Predicted time for each request before one at a plain service, which states no cost model. */
    private static final double PLAIN_MILLIS_PER_SLOT = 60;

    /**
     * Reading time of prompts that one entry may leave unread at an engine. An engine reads prompts between the steps
     * of running answers, so more of them at once make all its answers pause too long.
     */
    private static final double UNREAD_MILLIS = 150;

    private final String zone;

    private UpstreamChooser(String zone) {
        this.zone = zone;
    }

    /** Creates a chooser for an entry in the given data centre. */
    public static UpstreamChooser of(String zone) {
        return new UpstreamChooser(zone);
    }

    /**
     * Chooses an upstream with room for a request.
     *
     * @param request the request
     * @param upstreams upstreams of its service
     * @param profile cost model of the service, if it has one
     * @param oldestVersion lowest version of the weights that may serve, if any is known
     * @param nowNanos monotonic time
     */
    public Optional<Waiting.Choice> choose(
            Waiting request,
            List<Upstream> upstreams,
            Optional<EngineProfile> profile,
            OptionalLong oldestVersion,
            long nowNanos) {
        Upstream best = null;
        double bestMillis = Double.MAX_VALUE;
        int candidates = 0;
        for (Upstream upstream : upstreams) {
            if (!eligible(request, upstream, profile, oldestVersion, nowNanos)) {
                continue;
            }
            candidates++;
            double millis = predict(request, upstream, profile, nowNanos);
            if (millis < bestMillis) {
                best = upstream;
                bestMillis = millis;
            }
        }
        return best == null
                ? Optional.empty()
                : Optional.of(new Waiting.Choice(best, candidates, bestMillis, best.load(nowNanos)));
    }

    /** Returns whether any upstream may serve requests, now or after those that it has; one that loads may not. */
    public static boolean anyServing(
            List<Upstream> upstreams, Optional<EngineProfile> profile, OptionalLong oldestVersion, long nowNanos) {
        return upstreams.stream()
                .anyMatch(upstream -> upstream.usable(nowNanos)
                        && (profile.isEmpty() || (!upstream.loading(nowNanos) && serves(upstream, oldestVersion))));
    }

    private static boolean eligible(
            Waiting request,
            Upstream upstream,
            Optional<EngineProfile> profile,
            OptionalLong oldestVersion,
            long nowNanos) {
        if (!upstream.acceptsRequests(nowNanos) || request.tried().contains(upstream.id())) {
            return false;
        }
        int slots = upstream.listing().slots();
        if (profile.isEmpty()) {
            return upstream.load(nowNanos) < slots * LOAD_PER_SLOT_PLAIN;
        }
        int limit = request.rank().route() == 0 ? slots + QUEUED_FIRST_RANK : slots;
        return serves(upstream, oldestVersion)
                && !upstream.loading(nowNanos)
                && upstream.load(nowNanos) < limit
                && mayRead(request, upstream, profile.get());
    }

    /** Returns whether an engine reads a prompt soon; a single prompt may be of any size. */
    private static boolean mayRead(Waiting request, Upstream upstream, EngineProfile profile) {
        double unread = upstream.unreadTokens();
        return unread == 0 || profile.readMillis(unread + request.promptTokens()) <= UNREAD_MILLIS;
    }

    private static boolean serves(Upstream upstream, OptionalLong oldestVersion) {
        OptionalLong version = upstream.servedVersion();
        return version.isPresent() && (oldestVersion.isEmpty() || version.getAsLong() >= oldestVersion.getAsLong());
    }

    private double predict(Waiting request, Upstream upstream, Optional<EngineProfile> profile, long nowNanos) {
        int load = upstream.load(nowNanos);
        double millis = profile.map(model -> 1.5 * model.passMillis(load)
                        + model.readMillis(upstream.unreadTokens() + request.promptTokens()))
                .orElse(PLAIN_MILLIS_PER_SLOT
                        * (load + 1)
                        / Math.max(1, upstream.listing().slots()));
        double distance = upstream.listing().zone().equals(zone) ? 0 : OTHER_ZONE_MILLIS;
        return millis + distance + FAILING_MILLIS * upstream.failureShare();
    }
}
