package org.masticcroft.entry.request;

import org.masticcroft.kernel.config.CustomerConfig;
import org.masticcroft.kernel.config.RankConfig;

/**
 * Customer and rank of the caller of a request.
 *
 * @param customer name of the customer; empty if unknown
 * @param rank name of the rank
 * @param customerConfig weight and rate limit of the customer
 * @param rankOrder position of the rank; 0 is the most urgent
 */
public record Identity(String customer, String rank, CustomerConfig customerConfig, int rankOrder) {
    private static final CustomerConfig DEFAULT_CUSTOMER = new CustomerConfig(1, 0);

    /** Returns the identity of a caller whose key is unknown. */
    public static Identity unknown() {
        return new Identity("", "", DEFAULT_CUSTOMER, Integer.MAX_VALUE);
    }

    /** Returns the weight for fair queueing; 1 if the customer has none. */
    double weight() {
        return customerConfig.weight() > 0 ? customerConfig.weight() : 1;
    }

    static Identity of(String customer, String rank, CustomerConfig customerConfig, RankConfig rankConfig) {
        return new Identity(
                customer,
                rank,
                customerConfig == null ? DEFAULT_CUSTOMER : customerConfig,
                rankConfig == null ? Integer.MAX_VALUE : rankConfig.order());
    }
}
