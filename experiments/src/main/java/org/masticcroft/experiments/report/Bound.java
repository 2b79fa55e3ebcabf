package org.masticcroft.experiments.report;

/**
 * A bound on a measured value.
 *
 * @param upper whether the value must not exceed the limit; otherwise it must not fall below it
 * @param limit the limit, in the unit of the value
 */
public record Bound(boolean upper, double limit) {
    /** Returns a bound that the value must not exceed. */
    public static Bound atMost(double limit) {
        return new Bound(true, limit);
    }

    /** Returns a bound below which the value must not fall. */
    public static Bound atLeast(double limit) {
        return new Bound(false, limit);
    }

    /** Returns whether a value satisfies the bound; NaN does not. */
    public boolean isSatisfiedBy(double value) {
        return upper ? value <= limit : value >= limit;
    }

    /**
     * Returns the ratio of a value to an upper limit, or of a lower limit to a value: at most 1 if the bound is
     * satisfied. For a limit of 0, returns the value plus 1.
     */
    public double usedFraction(double value) {
        double fraction = upper ? value / limit : limit / value;
        return limit == 0 ? value + 1 : fraction;
    }

    @Override
    public String toString() {
        return (upper ? "<= " : ">= ") + limit;
    }
}
