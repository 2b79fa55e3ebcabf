package org.masticcroft.harness.check;

/** One invariant of the design's section 1.3, as far as a history and the ledgers show it. */
public interface Invariant {
    /** Returns the number of the invariant in the design. */
    int number();

    /** Returns the invariant in a few words. */
    String title();

    /** Checks it. */
    Finding check(Evidence evidence);
}
