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

    /** Returns whether a value keeps the bound; NaN does not. */
    public boolean isKeptBy(double value) {
        return upper ? value <= limit : value >= limit;
    }

    /** Returns how much of the bound a value uses: at most 1 if the bound is kept. */
    public double use(double value) {
        double part = upper ? value / limit : limit / value;
        return limit == 0 ? value + 1 : part;
    }

    @Override
    public String toString() {
        return (upper ? "<= " : ">= ") + limit;
    }
}
