package org.masticcroft.kernel.admission;

import java.util.Comparator;
import java.util.TreeMap;

/** Waiting tickets of one customer within one rank, with the customer's virtual time. */
final class CustomerQueue {
    /** Order in which customers are served. */
    static final Comparator<CustomerQueue> BY_VIRTUAL_TIME =
            Comparator.comparingDouble(CustomerQueue::virtualTime).thenComparing(CustomerQueue::name);

    /** Order in which customers lose places; the last one has the most waiting tickets per weight. */
    static final Comparator<CustomerQueue> BY_LENGTH =
            Comparator.comparingDouble(CustomerQueue::length).thenComparing(CustomerQueue::name);

    private final String name;
    private final TreeMap<Place, Ticket> tickets = new TreeMap<>();
    private final ServiceRate rate = new ServiceRate();
    private double weight;
    private double virtualTime;
    private int running;

    private CustomerQueue(String name, double virtualTime) {
        this.name = name;
        this.virtualTime = virtualTime;
    }

    static CustomerQueue of(String name, double virtualTime) {
        return new CustomerQueue(name, virtualTime);
    }

    String name() {
        return name;
    }

    /** Returns the rate at which this customer's tickets leave the queue; it counts only while some wait. */
    ServiceRate rate() {
        return rate;
    }

    double weight() {
        return weight;
    }

    double virtualTime() {
        return virtualTime;
    }

    int size() {
        return tickets.size();
    }

    boolean isIdle() {
        return tickets.isEmpty() && running == 0;
    }

    /** Returns the number of waiting tickets per weight. */
    double length() {
        return tickets.size() / weight;
    }

    void updateWeight(double newWeight) {
        weight = newWeight > 0 ? newWeight : 1;
    }

    void catchUp(double clock) {
        virtualTime = Math.max(virtualTime, clock);
    }

    void charge(double tokens) {
        virtualTime += tokens / weight;
    }

    void add(Place place, Ticket ticket) {
        tickets.put(place, ticket);
    }

    void remove(Place place) {
        tickets.remove(place);
    }

    Place oldest() {
        return tickets.firstKey();
    }

    Ticket ticketAt(Place place) {
        return tickets.get(place);
    }

    void startRunning() {
        running++;
    }

    Ticket takeNewest() {
        return tickets.pollLastEntry().getValue();
    }

    void endRunning() {
        running--;
    }

    /** Place of a ticket in its customer's queue: by arrival, so that resumed tickets keep their turn. */
    record Place(long arrivalNanos, long sequence) implements Comparable<Place> {
        @Override
        public int compareTo(Place other) {
            int byArrival = Long.compare(arrivalNanos, other.arrivalNanos);
            return byArrival != 0 ? byArrival : Long.compare(sequence, other.sequence);
        }
    }
}
