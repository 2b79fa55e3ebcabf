package org.masticcroft.gateway.node;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.masticcroft.gateway.config.AllowedRegions;
import org.masticcroft.gateway.config.Customer;
import org.masticcroft.gateway.config.Route;
import org.masticcroft.gateway.dispatch.QueuedRequest;
import org.masticcroft.gateway.dispatch.Rank;

/**
 * A request that nobody has sent, to ask what would be decided on it. It cannot be dispatched.
 *
 * @param route its route
 * @param configuredCustomer its customer, if it has one
 * @param promptTokens number of prompt tokens; 0 if it is not for a model
 * @param arrivalNanos monotonic time of its arrival in nanoseconds
 */
record ProbeRequest(Route route, Optional<Customer> configuredCustomer, int promptTokens, long arrivalNanos)
        implements QueuedRequest {
    @Override
    public String id() {
        return "probe";
    }

    @Override
    public Rank rank() {
        return Rank.of(configuredCustomer.map(Customer::rank).orElse(OptionalInt.empty()), route.rank());
    }

    @Override
    public String customer() {
        return configuredCustomer.map(Customer::name).orElse("");
    }

    @Override
    public long waitingSinceNanos() {
        return arrivalNanos;
    }

    @Override
    public Duration target() {
        return route.target();
    }

    @Override
    public long firstByteDeadlineNanos() {
        Duration patience =
                route.timeout().compareTo(route.callerTimeout()) < 0 ? route.timeout() : route.callerTimeout();
        return arrivalNanos + patience.toNanos();
    }

    @Override
    public boolean alreadySent() {
        return false;
    }

    @Override
    public Set<String> triedUpstreams() {
        return Set.of();
    }

    @Override
    public AllowedRegions allowedRegions() {
        return configuredCustomer
                .map(customer -> route.allowedRegions().intersection(customer.allowedRegions()))
                .orElse(route.allowedRegions());
    }

    @Override
    public void dispatch(Choice choice) {
        throw new UnsupportedOperationException("a probe is not sent");
    }

    @Override
    public void refuse(Refusal refusal) {
        throw new UnsupportedOperationException("a probe is not queued");
    }
}
