package org.masticcroft.kernel.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Names of the plug-ins that take admission, routing and rollout decisions.
 *
 * @param admission name of the plug-in that queues requests for admission
 * @param chooser name of the plug-in that chooses an upstream
 * @param rollout name of the plug-in that plans how weights are fetched
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

    /** Returns the plug-ins that are used if the configuration names none. */
    public static PolicyConfig defaults() {
        return new PolicyConfig(null, null, null);
    }
}
