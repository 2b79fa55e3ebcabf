package org.masticcroft.gateway.dispatch;

import java.util.OptionalInt;

/**
 * Rank of a request. Requests are ordered by the rank of the customer first and by the rank of the route second. If the
 * customer has no rank, the rank of the route stands for both.
 *
 * @param customer rank of the customer; 0 is served first
 * @param route rank of the route; 0 is served first
 */
public record Rank(int customer, int route) implements Comparable<Rank> {
    /** Number of route ranks that are told apart within a customer rank; all higher ones share the last. */
    private static final int ROUTE_RANKS_PER_CUSTOMER_RANK = 10;

    /** Number of urgency levels for each customer rank, of the ten levels that an engine knows. */
    private static final int URGENCIES_PER_CUSTOMER_RANK = 3;

    private static final int MAX_URGENCY = 9;

    /** Rejects negative ranks. */
    public Rank {
        if (customer < 0 || route < 0) {
            throw new IllegalArgumentException("rank is negative: customer " + customer + ", route " + route);
        }
    }

    /** Returns the rank of a request. */
    public static Rank of(OptionalInt customer, int route) {
        return new Rank(Math.max(0, customer.orElse(route)), Math.max(0, route));
    }

    /** Returns the position in the order of dispatch; lower is dispatched first. */
    public int order() {
        return customer * ROUTE_RANKS_PER_CUSTOMER_RANK + Math.min(route, ROUTE_RANKS_PER_CUSTOMER_RANK - 1);
    }

    /** Returns the ranks of customer and route, separated by a dot, as the account states them. */
    public String text() {
        return customer + "." + route;
    }

    /** Returns the urgency that is passed to an engine, from 0, which is served first, to 9. */
    public int urgency() {
        int urgencyInCustomerRank = Math.min(route, URGENCIES_PER_CUSTOMER_RANK - 1);
        return Math.min(MAX_URGENCY, customer * URGENCIES_PER_CUSTOMER_RANK + urgencyInCustomerRank);
    }

    @Override
    public int compareTo(Rank other) {
        return Integer.compare(order(), other.order());
    }
}
