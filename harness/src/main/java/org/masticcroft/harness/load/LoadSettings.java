package org.masticcroft.harness.load;

import java.time.Duration;
import java.util.List;

/**
 * What load to generate.
 *
 * @param entries host and port of the entries
 * @param deployment model name of chat completions
 * @param services names of plain services; none means that only completions are sent
 * @param readPath path of idempotent calls within a service
 * @param orderPath path of non-idempotent calls within a service
 * @param callers the callers
 * @param rate requests a second, re-sent copies not counted
 * @param duration how long to send
 * @param seed seed of the generator
 * @param chatShare fraction of completions
 * @param streamShare fraction of completions that are streamed
 * @param orderShare fraction of service calls that are not idempotent
 * @param resendShare fraction of orders that are sent twice whatever becomes of the first copy
 * @param resendUnknown whether an order whose outcome the caller does not know is sent again
 * @param prefixes number of shared prompt prefixes
 * @param prefixCharacters length of each
 * @param minTokens shortest answer in tokens
 * @param maxTokens longest answer in tokens
 * @param timeout after which a caller gives up
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
    /** Checks that the settings describe a load. */
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
