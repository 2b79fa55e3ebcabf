package org.masticcroft.kernel.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.masticcroft.kernel.config.RankConfig;

/**
 * Waiting tickets of one rank. Customers share the rank by start-time fair queueing: the customer with the smallest
 * virtual time is served next, and each token advances its virtual time by 1/weight.
 */
final class RankQueue {
    private static final double NANOS_PER_SECOND = 1e9;

    private final RankConfig config;
    private final Map<String, CustomerQueue> customers = new HashMap<>();
    private final TreeSet<CustomerQueue> byVirtualTime = new TreeSet<>(CustomerQueue.BY_VIRTUAL_TIME);
    private final TreeSet<CustomerQueue> byWeightedLength = new TreeSet<>(CustomerQueue.BY_WEIGHTED_LENGTH);
    private final TreeSet<CustomerQueue> idleCustomers = new TreeSet<>(CustomerQueue.BY_VIRTUAL_TIME);
    private final ServiceRate serviceRate = new ServiceRate();
    private double virtualTime;
    private double waitingWeight;
    private int running;
    private int waiting;

    private RankQueue(RankConfig config) {
        this.config = config;
    }

    static RankQueue of(RankConfig config) {
        return new RankQueue(config);
    }

    RankConfig config() {
        return config;
    }

    int waiting() {
        return waiting;
    }

    boolean isFull() {
        return waiting >= config.queueLimit();
    }

    /**
     * Returns whether the customer of a ticket has used up its part of the queue: it has at least as many waiting
     * tickets per weight as there are free places. A single customer of weight 1 gets half of the queue, so that
     * tickets of other customers can be added without displacing a waiting one.
     */
    boolean isFullFor(Ticket ticket) {
        CustomerQueue customer = customers.get(ticket.customer());
        return customer != null
                && customer.size() > 0
                && customer.weightedLength() >= Math.max(0, config.queueLimit() - waiting);
    }

    /**
     * Returns how many running tickets the rank lacks for its guaranteed share; zero or negative if it lacks none.
     *
     * @param totalRunning number of running tickets of all ranks
     */
    double shareDeficit(int totalRunning) {
        return config.share() * (totalRunning + 1) - running;
    }

    /** Returns the expected wait of a new ticket; zero if there is no estimate. */
    Duration expectedWait(Ticket ticket, long nowNanos) {
        if (waiting == 0) {
            return Duration.ZERO;
        }
        CustomerQueue customer = customers.get(ticket.customer());
        boolean hasWaiting = customer != null && customer.size() > 0;
        double weight = ticket.weight() > 0 ? ticket.weight() : 1;
        double totalWeight = hasWaiting ? waitingWeight : waitingWeight + weight;
        double ticketsToServe = hasWaiting ? customer.size() + 1 : 1;
        double fairShareRate = serviceRate.perSecond(nowNanos) * weight / totalWeight;
        double seconds = ticketsToServe
                / (hasWaiting ? Math.min(fairShareRate, customer.serviceRate().perSecond(nowNanos)) : fairShareRate);
        return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
    }

    void add(CustomerQueue.Position position, Ticket ticket, long nowNanos) {
        if (waiting == 0) {
            serviceRate.start(nowNanos);
        }
        CustomerQueue customer =
                customers.computeIfAbsent(ticket.customer(), name -> CustomerQueue.of(name, virtualTime));
        removeFromIndexes(customer);
        if (customer.size() == 0) {
            customer.serviceRate().start(nowNanos);
            customer.advanceTo(virtualTime);
        }
        customer.updateWeight(ticket.weight());
        customer.add(position, ticket);
        waiting++;
        addToIndexes(customer);
    }

    /** Adds a preempted ticket and deducts its earlier poll from the service rates, because it is polled again. */
    void requeue(CustomerQueue.Position position, Ticket ticket, long nowNanos) {
        add(position, ticket, nowNanos);
        serviceRate.recordRequeue();
        customers.get(ticket.customer()).serviceRate().recordRequeue();
    }

    void remove(CustomerQueue.Position position, Ticket ticket) {
        CustomerQueue customer = customers.get(ticket.customer());
        removeFromIndexes(customer);
        customer.remove(position);
        waiting--;
        addToIndexes(customer);
    }

    /**
     * Removes the newest ticket of the customer with the most waiting tickets per weight, if the customer of the new
     * ticket would have fewer.
     */
    Optional<Ticket> displaceFor(Ticket newTicket) {
        if (byWeightedLength.isEmpty()) {
            return Optional.empty();
        }
        CustomerQueue longest = byWeightedLength.last();
        CustomerQueue own = customers.get(newTicket.customer());
        double weight = newTicket.weight() > 0 ? newTicket.weight() : 1;
        double ownLength = ((own == null ? 0 : own.size()) + 1) / weight;
        if (ownLength >= longest.weightedLength()) {
            return Optional.empty();
        }
        removeFromIndexes(longest);
        Ticket displaced = longest.removeNewest();
        waiting--;
        addToIndexes(longest);
        return Optional.of(displaced);
    }

    /** Removes the next ticket and charges its estimated cost. The rank must have waiting tickets. */
    Ticket poll(long nowNanos) {
        CustomerQueue customer = byVirtualTime.first();
        virtualTime = Math.max(virtualTime, customer.virtualTime());
        CustomerQueue.Position position = customer.firstPosition();
        Ticket ticket = customer.ticketAt(position);
        start(position, ticket, nowNanos);
        evictIdleCustomers();
        return ticket;
    }

    /** Moves a waiting ticket to the running ones and charges its estimated cost. */
    void start(CustomerQueue.Position position, Ticket ticket, long nowNanos) {
        CustomerQueue customer = customers.get(ticket.customer());
        removeFromIndexes(customer);
        customer.remove(position);
        customer.recordStart();
        customer.charge(ticket.estimatedTokens());
        waiting--;
        running++;
        addToIndexes(customer);
        serviceRate.recordPoll(nowNanos);
        customer.serviceRate().recordPoll(nowNanos);
    }

    /** Ends a running ticket and replaces the estimated cost charged for it with the actual cost. */
    void finish(Ticket ticket, int actualTokens) {
        running--;
        CustomerQueue customer = customers.get(ticket.customer());
        if (customer == null) {
            return;
        }
        removeFromIndexes(customer);
        customer.charge(actualTokens - ticket.estimatedTokens());
        customer.recordEnd();
        addToIndexes(customer);
    }

    /** Removes a customer from the sorted sets; required before a change of any value that they sort by. */
    private void removeFromIndexes(CustomerQueue customer) {
        if (byVirtualTime.remove(customer)) {
            byWeightedLength.remove(customer);
            waitingWeight -= customer.weight();
        } else {
            idleCustomers.remove(customer);
        }
    }

    /** Adds a customer to the sorted sets again after a change. */
    private void addToIndexes(CustomerQueue customer) {
        if (customer.size() > 0) {
            byVirtualTime.add(customer);
            byWeightedLength.add(customer);
            waitingWeight += customer.weight();
        } else if (customer.isIdle()) {
            idleCustomers.add(customer);
        }
    }

    /**
     * Removes idle customers whose virtual time is not ahead of that of the rank. If they return, they start at the
     * virtual time of the rank anyway.
     */
    private void evictIdleCustomers() {
        while (!idleCustomers.isEmpty() && idleCustomers.first().virtualTime() <= virtualTime) {
            customers.remove(idleCustomers.pollFirst().name());
        }
    }
}
