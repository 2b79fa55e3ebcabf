package org.masticcroft.harness.load;

import java.time.Duration;
import java.util.List;

/**
 * Settings of the generated load.
 *
 * @param entries host and port of the entries
 * @param deployment model name of chat completions
 * @param services names of plain services; none means that only completions are sent
 * @param readPath path of idempotent calls within a service
 * @param orderPath path of non-idempotent calls within a service
 * @param callers the callers
 * @param rate requests per second, without re-sent copies
 * @param duration time during which requests are sent
 * @param seed seed of the generator
 * @param chatShare fraction of completions
 * @param streamShare fraction of completions that are streamed
 * @param orderShare fraction of service calls that are not idempotent
 * @param resendShare fraction of orders that are sent twice regardless of the outcome of the first copy
 * @param resendUnknown whether an order of unknown outcome is sent again to another entry
 * @param prefixes number of shared prompt prefixes
 * @param prefixCharacters length of each prefix in characters
 * @param minTokens shortest answer in tokens
 * @param maxTokens longest answer in tokens
 * @param timeout time after which a caller cancels a request
 */
public record LoadSettings(
        List<String> entries,
        String deployment,
        List<String> services,
        String readPath,
        String orderPath,
        List<CallerKey> callers,
        double rate,
        Duration duration,
        long seed,
        double chatShare,
        double streamShare,
        double orderShare,
        double resendShare,
        boolean resendUnknown,
        int prefixes,
        int prefixCharacters,
        int minTokens,
        int maxTokens,
        Duration timeout) {
    /** Checks that there are entries and callers, and the ranges of rate, token bounds and number of prefixes. */
    public LoadSettings {
        entries = List.copyOf(entries);
        services = List.copyOf(services);
        callers = List.copyOf(callers);
        if (entries.isEmpty() || callers.isEmpty()) {
            throw new IllegalArgumentException("at least one entry and one key are required");
        }
        if (!(rate > 0) || minTokens < 1 || maxTokens < minTokens || prefixes < 1) {
            throw new IllegalArgumentException("rate, token bounds or number of prefixes out of range");
        }
    }
}
