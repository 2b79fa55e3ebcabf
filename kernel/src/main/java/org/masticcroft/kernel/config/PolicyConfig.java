package org.masticcroft.kernel.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Names of the decision plug-ins in use.
 *
 * @param admission name of the admission queue
 * @param chooser name of the upstream chooser
 * @param rollout name of the fetch planner
 */
public record PolicyConfig(
        @JsonProperty("admission") String admission,
        @JsonProperty("chooser") String chooser,
        @JsonProperty("rollout") String rollout) {

    private static final String DEFAULT_ADMISSION = "ranked-fair";
    private static final String DEFAULT_CHOOSER = "prefix-affinity";
    private static final String DEFAULT_ROLLOUT = "regional-swarm";

    public PolicyConfig {
        admission = admission == null ? DEFAULT_ADMISSION : admission;
        chooser = chooser == null ? DEFAULT_CHOOSER : chooser;
        rollout = rollout == null ? DEFAULT_ROLLOUT : rollout;
    }

    /** Returns the plug-ins that are used when the configuration names none. */
    public static PolicyConfig defaults() {
        return new PolicyConfig(null, null, null);
    }
}
