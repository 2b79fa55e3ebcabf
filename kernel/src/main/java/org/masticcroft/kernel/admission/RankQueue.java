package org.masticcroft.kernel.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.masticcroft.kernel.config.RankConfig;

/**
 * Waiting tickets of one rank. Customers share by start-time fair queueing: the customer with the smallest virtual time
 * is served, and each token advances its virtual time by 1/weight.
 */
final class RankQueue {
    private static final double NANOS_PER_SECOND = 1e9;

    private final RankConfig config;
    private final Map<String, CustomerQueue> customers = new HashMap<>();
    private final TreeSet<CustomerQueue> byTurn = new TreeSet<>(CustomerQueue.BY_VIRTUAL_TIME);
    private final TreeSet<CustomerQueue> byLength = new TreeSet<>(CustomerQueue.BY_LENGTH);
    private final TreeSet<CustomerQueue> idle = new TreeSet<>(CustomerQueue.BY_VIRTUAL_TIME);
    private final ServiceRate rate = new ServiceRate();
    private double clock;
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
     * Returns whether a customer holds its part of the queue: more places per weight than are free. A lone one gets
     * half of the queue, and newcomers find room without displacing a ticket that already waits.
     */
    boolean isFullFor(Ticket ticket) {
        CustomerQueue customer = customers.get(ticket.customer());
        return customer != null
                && customer.size() > 0
                && customer.length() >= Math.max(0, config.queueLimit() - waiting);
    }

    /**
     * Returns how many running tickets the rank lacks to its guaranteed share.
     *
     * @param totalRunning running tickets of all ranks
     */
    double lacking(int totalRunning) {
        return config.share() * (totalRunning + 1) - running;
    }

    /** Returns the expected wait of a new ticket of a customer; zero if there is no estimate. */
    Duration expectedWait(Ticket ticket, long nowNanos) {
        if (waiting == 0) {
            return Duration.ZERO;
        }
        CustomerQueue customer = customers.get(ticket.customer());
        boolean waits = customer != null && customer.size() > 0;
        double weight = ticket.weight() > 0 ? ticket.weight() : 1;
        double totalWeight = waits ? waitingWeight : waitingWeight + weight;
        double ahead = waits ? customer.size() + 1 : 1;
        double fairRate = rate.perSecond(nowNanos) * weight / totalWeight;
        double seconds = ahead / (waits ? Math.min(fairRate, customer.rate().perSecond(nowNanos)) : fairRate);
        return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
    }

    void add(CustomerQueue.Place place, Ticket ticket, long nowNanos) {
        if (waiting == 0) {
            rate.start(nowNanos);
        }
        CustomerQueue customer = customers.computeIfAbsent(ticket.customer(), name -> CustomerQueue.of(name, clock));
        detach(customer);
        if (customer.size() == 0) {
            customer.rate().start(nowNanos);
            customer.catchUp(clock);
        }
        customer.updateWeight(ticket.weight());
        customer.add(place, ticket);
        waiting++;
        attach(customer);
    }

    /** Adds a preempted ticket; it goes ahead of the waiting ones again, so it counts as not yet taken. */
    void addBack(CustomerQueue.Place place, Ticket ticket, long nowNanos) {
        add(place, ticket, nowNanos);
        rate.recordReturn();
        customers.get(ticket.customer()).rate().recordReturn();
    }

    void remove(CustomerQueue.Place place, Ticket ticket) {
        CustomerQueue customer = customers.get(ticket.customer());
        detach(customer);
        customer.remove(place);
        waiting--;
        attach(customer);
    }

    /** Removes the newest ticket of the customer with the longest queue if a newcomer's queue would be shorter. */
    Optional<Ticket> displaceFor(Ticket newcomer) {
        if (byLength.isEmpty()) {
            return Optional.empty();
        }
        CustomerQueue longest = byLength.last();
        CustomerQueue own = customers.get(newcomer.customer());
        double weight = newcomer.weight() > 0 ? newcomer.weight() : 1;
        double ownLength = ((own == null ? 0 : own.size()) + 1) / weight;
        if (ownLength >= longest.length()) {
            return Optional.empty();
        }
        detach(longest);
        Ticket displaced = longest.takeNewest();
        waiting--;
        attach(longest);
        return Optional.of(displaced);
    }

    /** Removes the ticket whose turn it is and charges its estimate. The rank must have waiting tickets. */
    Ticket take(long nowNanos) {
        CustomerQueue customer = byTurn.first();
        clock = Math.max(clock, customer.virtualTime());
        CustomerQueue.Place place = customer.oldest();
        Ticket ticket = customer.ticketAt(place);
        take(place, ticket, nowNanos);
        forgetIdle();
        return ticket;
    }

    /** Removes a ticket out of turn and charges its estimate. */
    void take(CustomerQueue.Place place, Ticket ticket, long nowNanos) {
        CustomerQueue customer = customers.get(ticket.customer());
        detach(customer);
        customer.remove(place);
        customer.startRunning();
        customer.charge(ticket.estimatedTokens());
        waiting--;
        running++;
        attach(customer);
        rate.recordPoll(nowNanos);
        customer.rate().recordPoll(nowNanos);
    }

    /** Ends a running ticket and replaces the estimate charged for it by its true cost. */
    void finish(Ticket ticket, int actualTokens) {
        running--;
        CustomerQueue customer = customers.get(ticket.customer());
        if (customer == null) {
            return;
        }
        detach(customer);
        customer.charge(actualTokens - ticket.estimatedTokens());
        customer.endRunning();
        attach(customer);
    }

    private void detach(CustomerQueue customer) {
        if (byTurn.remove(customer)) {
            byLength.remove(customer);
            waitingWeight -= customer.weight();
        } else {
            idle.remove(customer);
        }
    }

    private void attach(CustomerQueue customer) {
        if (customer.size() > 0) {
            byTurn.add(customer);
            byLength.add(customer);
            waitingWeight += customer.weight();
        } else if (customer.isIdle()) {
            idle.add(customer);
        }
    }

    /** Drops customers whose virtual time has been passed: they would start at the clock anyway. */
    private void forgetIdle() {
        while (!idle.isEmpty() && idle.first().virtualTime() <= clock) {
            customers.remove(idle.pollFirst().name());
        }
    }
}
