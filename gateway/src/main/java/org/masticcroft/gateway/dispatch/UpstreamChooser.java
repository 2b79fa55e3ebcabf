package org.masticcroft.gateway.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.masticcroft.gateway.config.EngineProfile;

/** Chooses the upstream with the shortest predicted time to the first byte. */
public final class UpstreamChooser {
    /** Number of requests of the first route rank that may queue in a full engine, where they overtake others. */
    private static final int FIRST_RANK_QUEUE_LIMIT = 2;

    /** Maximum number of requests per slot of a plain service; its own queue is short. */
    private static final int PLAIN_REQUESTS_PER_SLOT = 2;

    /** Added to the prediction for an upstream in another data centre; its streams use the link between them. */
    private static final double OTHER_ZONE_PENALTY_MILLIS = 40;

    /** Added to the prediction for an upstream whose requests all fail; less in proportion if only some fail. */
    private static final double FAILURE_PENALTY_MILLIS = 2000;

    /** Share of the stated slowness of an engine that counts in the prediction. */
    private static final double PACE_WEIGHT = 0.5;

    /** Predicted duration of a request at a plain service, which has no cost model. */
    private static final double PLAIN_REQUEST_MILLIS = 60;

    /**
     * Maximum prefill time of the prompts that one entry may have pending at an engine. An engine prefills prompts
     * between the decoding steps of running requests, so more of them at once would stall all its responses too long.
     */
    private static final double MAX_PENDING_PREFILL_MILLIS = 150;

    private final String zone;

    private UpstreamChooser(String zone) {
        this.zone = zone;
    }

    /** Creates a chooser for an entry in the given data centre. */
    public static UpstreamChooser of(String zone) {
        return new UpstreamChooser(zone);
    }

    /**
     * Chooses an upstream with capacity for a request.
     *
     * @param request request to dispatch
     * @param upstreams upstreams of its service
     * @param profile cost model of the service; empty for a plain service
     * @param minVersion lowest version of the weights that may serve the request, if any is known
     * @param nowNanos monotonic time in nanoseconds
     */
    public Optional<QueuedRequest.Choice> choose(
            QueuedRequest request,
            List<Upstream> upstreams,
            Optional<EngineProfile> profile,
            OptionalLong minVersion,
            long nowNanos) {
        Upstream best = null;
        double bestMillis = Double.MAX_VALUE;
        int candidates = 0;
        for (Upstream upstream : upstreams) {
            if (!eligible(request, upstream, profile, minVersion, nowNanos)) {
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
                : Optional.of(new QueuedRequest.Choice(best, candidates, bestMillis, best.load(nowNanos)));
    }

    /** Returns whether any upstream may serve requests, even if it has no capacity now; not while it loads weights. */
    public static boolean anyServing(
            List<Upstream> upstreams, Optional<EngineProfile> profile, OptionalLong minVersion, long nowNanos) {
        return upstreams.stream()
                .anyMatch(upstream -> upstream.usable(nowNanos)
                        && (profile.isEmpty() || (!upstream.loading(nowNanos) && servesVersion(upstream, minVersion))));
    }

    private static boolean eligible(
            QueuedRequest request,
            Upstream upstream,
            Optional<EngineProfile> profile,
            OptionalLong minVersion,
            long nowNanos) {
        if (!upstream.acceptsRequests(nowNanos) || request.triedUpstreams().contains(upstream.id())) {
            return false;
        }
        int slots = upstream.listing().slots();
        if (profile.isEmpty()) {
            return upstream.load(nowNanos) < slots * PLAIN_REQUESTS_PER_SLOT;
        }
        int limit = request.rank().route() == 0 ? slots + FIRST_RANK_QUEUE_LIMIT : slots;
        return servesVersion(upstream, minVersion)
                && !upstream.loading(nowNanos)
                && upstream.load(nowNanos) < limit
                && prefillFits(request, upstream, profile.get());
    }

    /** Returns whether a prompt keeps the pending prefill within its limit; a single prompt may be of any size. */
    private static boolean prefillFits(QueuedRequest request, Upstream upstream, EngineProfile profile) {
        double pendingTokens = upstream.pendingPromptTokens();
        return pendingTokens == 0
                || profile.prefillMillis(pendingTokens + request.promptTokens()) <= MAX_PENDING_PREFILL_MILLIS;
    }

    private static boolean servesVersion(Upstream upstream, OptionalLong minVersion) {
        OptionalLong version = upstream.servedVersion();
        return version.isPresent() && (minVersion.isEmpty() || version.getAsLong() >= minVersion.getAsLong());
    }

    /**
     * Returns the factor by which the prediction grows with the stated pace. A pace may have changed since the report,
     * and an entry does not know the prompts that others have sent, so the whole factor would crowd the fast engines.
     */
    private static double slowness(double pace) {
        return 1 + PACE_WEIGHT * (pace - 1);
    }

    private double predict(QueuedRequest request, Upstream upstream, Optional<EngineProfile> profile, long nowNanos) {
        int load = upstream.load(nowNanos);
        double millis = profile.map(costs -> slowness(upstream.pace(nowNanos))
                        * (1.5 * costs.passMillis(load)
                                + costs.prefillMillis(upstream.pendingPromptTokens() + request.promptTokens())))
                .orElse(PLAIN_REQUEST_MILLIS
                        * (load + 1)
                        / Math.max(1, upstream.listing().slots()));
        double zonePenalty = upstream.listing().zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY_MILLIS;
        return millis + zonePenalty + FAILURE_PENALTY_MILLIS * upstream.failureShare();
    }
}
