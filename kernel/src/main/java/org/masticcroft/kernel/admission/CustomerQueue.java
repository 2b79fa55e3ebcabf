package org.masticcroft.kernel.admission;

import java.util.Comparator;
import java.util.TreeMap;

/** Waiting tickets of one customer in one rank, and the virtual time of the customer for fair queueing. */
final class CustomerQueue {
    /** Order in which customers are served. */
    static final Comparator<CustomerQueue> BY_VIRTUAL_TIME =
            Comparator.comparingDouble(CustomerQueue::virtualTime).thenComparing(CustomerQueue::name);

    /** Order for displacement; the customer with the most waiting tickets per weight comes last. */
    static final Comparator<CustomerQueue> BY_WEIGHTED_LENGTH =
            Comparator.comparingDouble(CustomerQueue::weightedLength).thenComparing(CustomerQueue::name);

    private final String name;
    private final TreeMap<Position, Ticket> tickets = new TreeMap<>();
    private final ServiceRate serviceRate = new ServiceRate();
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

    /** Returns the rate at which tickets of this customer leave the queue; valid only while tickets wait. */
    ServiceRate serviceRate() {
        return serviceRate;
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
    double weightedLength() {
        return tickets.size() / weight;
    }

    void updateWeight(double newWeight) {
        weight = newWeight > 0 ? newWeight : 1;
    }

    /** Raises the virtual time to that of the rank, so that a customer gains no credit while it is idle. */
    void advanceTo(double rankVirtualTime) {
        virtualTime = Math.max(virtualTime, rankVirtualTime);
    }

    /** Charges a cost in tokens; a negative one corrects an estimate that was too high. */
    void charge(double tokens) {
        virtualTime += tokens / weight;
    }

    void add(Position position, Ticket ticket) {
        tickets.put(position, ticket);
    }

    void remove(Position position) {
        tickets.remove(position);
    }

    Position firstPosition() {
        return tickets.firstKey();
    }

    Ticket ticketAt(Position position) {
        return tickets.get(position);
    }

    void recordStart() {
        running++;
    }

    Ticket removeNewest() {
        return tickets.pollLastEntry().getValue();
    }

    void recordEnd() {
        running--;
    }

    /** Position of a ticket in the queue of its customer, by arrival time; a preempted ticket keeps its position. */
    record Position(long arrivalNanos, long sequence) implements Comparable<Position> {
        @Override
        public int compareTo(Position other) {
            int byArrival = Long.compare(arrivalNanos, other.arrivalNanos);
            return byArrival != 0 ? byArrival : Long.compare(sequence, other.sequence);
        }
    }
}
