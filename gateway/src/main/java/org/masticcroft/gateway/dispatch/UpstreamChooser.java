package org.masticcroft.gateway.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
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

    /** Passes of an engine until it generates the first tokens of a request that needs no prefill, on average. */
    private static final double PASSES_BEFORE_FIRST_BYTE = 1.5;

    /** Time for learning of a version, for the next check of open requests, and for the close to reach the engine. */
    private static final Duration WITHDRAWAL_TIME = Duration.ofMillis(250);

    /** Passes after which an engine has noticed that a connection was closed. */
    private static final double PASSES_UNTIL_WITHDRAWN = 2;

    private final String zone;
    private final PlacementRule rules;
    private final PathDelays paths;

    private UpstreamChooser(String zone, PlacementRule rules, PathDelays paths) {
        this.zone = zone;
        this.rules = rules;
        this.paths = paths;
    }

    /** Creates a chooser for an entry in the given data centre that allows every placement. */
    public static UpstreamChooser of(String zone) {
        return of(zone, PlacementRules.of());
    }

    /** Creates a chooser to whose upstreams all paths are short. */
    public static UpstreamChooser of(String zone, PlacementRule rules) {
        return of(zone, rules, PathDelays.unknown());
    }

    /**
     * Creates a chooser.
     *
     * @param zone data centre of the entry
     * @param rules placements that are allowed
     * @param paths delays of the paths to the upstreams
     */
    public static UpstreamChooser of(String zone, PlacementRule rules, PathDelays paths) {
        return new UpstreamChooser(zone, rules, paths);
    }

    /**
     * Chooses an upstream with capacity for a request.
     *
     * @param request request to dispatch
     * @param upstreams upstreams of its service
     * @param profile cost model of the service; empty for a plain service
     * @param versions oldest version of the weights that may serve the request
     * @param nowNanos monotonic time in nanoseconds
     */
    public Optional<QueuedRequest.Choice> choose(
            QueuedRequest request,
            List<Upstream> upstreams,
            Optional<EngineProfile> profile,
            VersionLimit versions,
            long nowNanos) {
        Upstream best = null;
        double bestMillis = Double.MAX_VALUE;
        int candidates = 0;
        for (Upstream upstream : upstreams) {
            if (!eligible(request, upstream, profile, versions, nowNanos)
                    || rules.check(request, upstream, nowNanos) != PlacementDecision.ALLOWED) {
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

    /** Returns what {@link #choose} would decide on each upstream, with the same parameters. */
    public List<UpstreamAssessment> assess(
            QueuedRequest request,
            List<Upstream> upstreams,
            Optional<EngineProfile> profile,
            VersionLimit versions,
            long nowNanos) {
        return upstreams.stream()
                .map(upstream -> new UpstreamAssessment(
                        upstream,
                        decision(request, upstream, profile, versions, nowNanos),
                        predict(request, upstream, profile, nowNanos),
                        upstream.load(nowNanos)))
                .toList();
    }

    private String decision(
            QueuedRequest request,
            Upstream upstream,
            Optional<EngineProfile> profile,
            VersionLimit versions,
            long nowNanos) {
        PlacementDecision placement = rules.check(request, upstream, nowNanos);
        if (placement != PlacementDecision.ALLOWED) {
            return placement.name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
        if (eligible(request, upstream, profile, versions, nowNanos)) {
            return UpstreamAssessment.ELIGIBLE;
        }
        if (!upstream.usable(nowNanos)) {
            return "not-usable";
        }
        if (!upstream.acceptsRequests(nowNanos)) {
            return "paused";
        }
        if (profile.isEmpty()) {
            return "full";
        }
        if (upstream.loading()) {
            return "loading-weights";
        }
        Duration untilBegin = untilBegin(request.promptTokens(), upstream, profile.get(), nowNanos);
        if (!servesVersion(upstream, versions, untilBegin)) {
            return "outdated-weights";
        }
        return prefillFits(request, upstream, profile.get()) ? "full" : "prefill-pending";
    }

    /** Is called when a request is dispatched to an upstream. */
    void onSend(QueuedRequest request, Upstream upstream, long nowNanos) {
        rules.onSend(request, upstream, nowNanos);
    }

    /**
     * Returns whether any upstream may serve a request, even if it has no capacity now; not while it loads weights or
     * if a rule excludes it for good.
     */
    public boolean anyServing(
            QueuedRequest request,
            List<Upstream> upstreams,
            Optional<EngineProfile> profile,
            VersionLimit versions,
            long nowNanos) {
        return upstreams.stream()
                .filter(upstream -> upstream.usable(nowNanos))
                .filter(upstream -> allows(request, upstream, nowNanos))
                .anyMatch(upstream -> profile.isEmpty()
                        || (!upstream.loading()
                                && servesVersion(
                                        upstream, versions, untilBegin(0, upstream, profile.get(), nowNanos))));
    }

    /** Returns whether no rule excludes an upstream for good, as it may since the upstream was chosen. */
    public boolean allows(QueuedRequest request, Upstream upstream, long nowNanos) {
        return !rules.check(request, upstream, nowNanos).lasting();
    }

    /**
     * Returns why a request must not be sent any more to the upstream that was chosen for it; empty if it may be sent.
     * Room at the upstream and its pauses do not count, because the request has its place there already.
     */
    Optional<String> sendObjection(
            QueuedRequest request,
            Upstream upstream,
            Optional<EngineProfile> profile,
            VersionLimit versions,
            long nowNanos) {
        if (!allows(request, upstream, nowNanos)) {
            return Optional.of("placement-changed");
        }
        if (upstream.left()) {
            return Optional.of("upstream-left");
        }
        // The pending prompts contain that of the request.
        boolean outdated = profile.isPresent()
                && !servesVersion(upstream, versions, untilBegin(0, upstream, profile.get(), nowNanos));
        return outdated ? Optional.of("weights-outdated") : Optional.empty();
    }

    /** Returns whether an upstream accepts requests that may serve a request and was not tried for it yet. */
    public boolean anyUntried(QueuedRequest request, List<Upstream> upstreams, long nowNanos) {
        return upstreams.stream()
                .filter(upstream -> upstream.acceptsRequests(nowNanos))
                .filter(upstream -> !request.triedUpstreams().contains(upstream.id()))
                .anyMatch(upstream -> allows(request, upstream, nowNanos));
    }

    /** Returns the time until any usable upstream is past the pause it asked for; zero if one is, or none is usable. */
    static Duration untilPauseEnds(List<Upstream> upstreams, long nowNanos) {
        return upstreams.stream()
                .filter(upstream -> upstream.usable(nowNanos))
                .map(upstream -> Duration.ofNanos(upstream.askedPauseEndNanos(nowNanos) - nowNanos))
                .min(Duration::compareTo)
                .orElse(Duration.ZERO);
    }

    private boolean eligible(
            QueuedRequest request,
            Upstream upstream,
            Optional<EngineProfile> profile,
            VersionLimit versions,
            long nowNanos) {
        if (!upstream.acceptsRequests(nowNanos) || request.triedUpstreams().contains(upstream.id())) {
            return false;
        }
        int slots = upstream.listing().slots();
        if (profile.isEmpty()) {
            return upstream.load(nowNanos) < slots * PLAIN_REQUESTS_PER_SLOT;
        }
        int limit = request.rank().route() == 0 ? slots + FIRST_RANK_QUEUE_LIMIT : slots;
        Duration untilBegin = untilBegin(request.promptTokens(), upstream, profile.get(), nowNanos);
        return servesVersion(upstream, versions, untilBegin)
                && !upstream.loading()
                && upstream.load(nowNanos) < limit
                && prefillFits(request, upstream, profile.get());
    }

    /** Returns whether a prompt keeps the pending prefill within its limit; a single prompt may be of any size. */
    private static boolean prefillFits(QueuedRequest request, Upstream upstream, EngineProfile profile) {
        double pendingTokens = upstream.pendingPromptTokens();
        return pendingTokens == 0
                || profile.prefillMillis(pendingTokens + request.promptTokens()) <= MAX_PENDING_PREFILL_MILLIS;
    }

    private static boolean servesVersion(Upstream upstream, VersionLimit versions, Duration untilBegin) {
        OptionalLong version = upstream.servedVersion();
        OptionalLong oldest = versions.oldestAllowed(untilBegin);
        return version.isPresent() && (oldest.isEmpty() || version.getAsLong() >= oldest.getAsLong());
    }

    /**
     * Returns the time after which a request that is sent now has begun, or is withdrawn. It is a cautious estimate:
     * other entries may have sent prompts that this one does not know of. The lead of the withdrawal contains the delay
     * of the path, which both the request and its withdrawal take.
     */
    private Duration untilBegin(int promptTokens, Upstream upstream, EngineProfile profile, long nowNanos) {
        double modelMillis =
                upstream.lastReportedPace() * timeToFirstByteMillis(promptTokens, upstream, profile, nowNanos);
        Duration modelled = Duration.ofMillis((long) modelMillis);
        Duration observed = upstream.longestRecentWait(nowNanos);
        return (observed.compareTo(modelled) > 0 ? observed : modelled)
                .plus(withdrawalLead(upstream, profile, nowNanos));
    }

    /** Returns the time before a bound at which a request must be withdrawn so that its engine does not begin it. */
    public Duration withdrawalLead(Upstream upstream, EngineProfile profile, long nowNanos) {
        double passMillis = upstream.lastReportedPace() * profile.passMillis(upstream.load(nowNanos));
        return WITHDRAWAL_TIME
                .plus(paths.longest(upstream.listing().zone(), nowNanos))
                .plusMillis((long) (PASSES_UNTIL_WITHDRAWN * passMillis));
    }

    private static double timeToFirstByteMillis(
            int promptTokens, Upstream upstream, EngineProfile profile, long nowNanos) {
        return PASSES_BEFORE_FIRST_BYTE * profile.passMillis(upstream.load(nowNanos))
                + profile.prefillMillis(upstream.pendingPromptTokens() + promptTokens);
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
                        * timeToFirstByteMillis(request.promptTokens(), upstream, costs, nowNanos))
                .orElse(PLAIN_REQUEST_MILLIS
                        * (load + 1)
                        / Math.max(1, upstream.listing().slots()));
        double zonePenalty = upstream.listing().zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY_MILLIS;
        return millis + zonePenalty + FAILURE_PENALTY_MILLIS * upstream.failureShare();
    }
}
