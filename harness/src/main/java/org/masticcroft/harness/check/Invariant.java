package org.masticcroft.harness.check;

/** An invariant of section 1.3 of the design, as far as it can be checked from a history and the ledgers. */
public interface Invariant {
    /** Returns the number of the invariant in the design. */
    int number();

    /** Returns a short description of the invariant for reports. */
    String title();

    /** Checks the invariant against the evidence of a run. */
    Finding check(Evidence evidence);
}
