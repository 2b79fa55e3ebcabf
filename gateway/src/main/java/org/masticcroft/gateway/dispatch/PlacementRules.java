package org.masticcroft.gateway.dispatch;

import java.util.List;

/** Several rules, all of which must allow a placement. */
public final class PlacementRules implements PlacementRule {
    private final List<PlacementRule> rules;

    private PlacementRules(List<PlacementRule> rules) {
        this.rules = rules;
    }

    /** Combines rules; without any, every placement is allowed. */
    public static PlacementRules of(PlacementRule... rules) {
        return new PlacementRules(List.of(rules));
    }

    /** Returns the first decision that is not {@link PlacementDecision#ALLOWED}, a lasting one before all others. */
    @Override
    public PlacementDecision check(QueuedRequest request, Upstream upstream, long nowNanos) {
        PlacementDecision first = PlacementDecision.ALLOWED;
        for (PlacementRule rule : rules) {
            PlacementDecision decision = rule.check(request, upstream, nowNanos);
            if (decision.lasting()) {
                return decision;
            }
            first = first == PlacementDecision.ALLOWED ? decision : first;
        }
        return first;
    }

    @Override
    public void onSend(QueuedRequest request, Upstream upstream, long nowNanos) {
        rules.forEach(rule -> rule.onSend(request, upstream, nowNanos));
    }
}
