package org.masticcroft.gateway.dispatch;

import java.util.OptionalInt;

/**
 * Rank of a request. The rank of its customer decides first; among customers of one rank, that of the route decides. A
 * request whose customer has no rank of its own takes the route's in both places.
 *
 * @param customer rank of the customer; 0 is served first
 * @param route rank of the route; 0 is served first
 */
public record Rank(int customer, int route) implements Comparable<Rank> {
    /** Ranks of routes for each rank of a customer; the least urgent ones beyond share the last. */
    private static final int ROUTE_RANKS = 10;

    /** Steps of urgency that an engine knows for each rank of a customer; it tells ten steps apart in all. */
    private static final int URGENCIES_PER_CUSTOMER = 3;

    private static final int LAST_URGENCY = 9;

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

    /** Returns the position in the order of service; lower is served first. */
    public int order() {
        return customer * ROUTE_RANKS + Math.min(route, ROUTE_RANKS - 1);
    }

    /** Returns the ranks of customer and route, separated by a dot. */
    public String text() {
        return customer + "." + route;
    }

    /** Returns the urgency for an engine, from 0, which is served first, to 9. */
    public int urgency() {
        int withinCustomer = Math.min(route, URGENCIES_PER_CUSTOMER - 1);
        return Math.min(LAST_URGENCY, customer * URGENCIES_PER_CUSTOMER + withinCustomer);
    }

    @Override
    public int compareTo(Rank other) {
        return Integer.compare(order(), other.order());
    }
}
