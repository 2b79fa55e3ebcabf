package org.masticcroft.experiments.rollout;

/** Fault that is injected into a rollout. */
enum RolloutFault {
    NONE("no fault"),
    DEATHS("5 % of machines die"),
    CORRUPTION("1 % of chunks corrupt"),
    ORIGIN_SLOW("origin slow after the first copy"),
    ORIGIN_GONE("origin gone after the first copy"),
    NEW_VERSION("new version in the middle");

    private final String title;

    RolloutFault(String title) {
        this.title = title;
    }

    String title() {
        return title;
    }
}
