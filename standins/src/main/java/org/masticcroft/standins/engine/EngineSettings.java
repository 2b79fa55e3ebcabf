package org.masticcroft.standins.engine;

import java.util.Optional;

/**
 * Settings of an engine stand-in.
 *
 * @param id name in ledgers
 * @param slots number of requests in the batch
 * @param queue maximum number of requests that wait for a slot
 * @param tokenMillis time for one token in ms
 * @param batchSlowdown by how much each other running request lengthens the time for a token, as a fraction
 * @param firstTokenMillis time to the first token in ms without any cached prefix
 * @param defaultTokens length of an answer to a request without {@code max_tokens}
 * @param reportLagMillis lag of the load report in ms
 * @param cacheBlocks capacity of the prefix cache in blocks
 * @param cacheEventLagMillis delay of cache events in ms
 * @param cacheEventLoss probability that a cache event is never published
 * @param memoryBytes memory for staged and loaded weights in bytes
 * @param loadMillis time to load weights in ms
 * @param fencingHonoured whether commands with an old fencing token are rejected
 * @param verifyLoad whether a load compares the staged chunks with the digests that the command names
 * @param crashText text in a prompt that ends the process; empty for none
 * @param crashAfterTokens number of tokens produced before such a crash
 * @param ledgerUrl base URL of the ledger collector
 */
public record EngineSettings(
        String id,
        int slots,
        int queue,
        long tokenMillis,
        double batchSlowdown,
        long firstTokenMillis,
        int defaultTokens,
        long reportLagMillis,
        int cacheBlocks,
        long cacheEventLagMillis,
        double cacheEventLoss,
        long memoryBytes,
        long loadMillis,
        boolean fencingHonoured,
        boolean verifyLoad,
        String crashText,
        int crashAfterTokens,
        Optional<String> ledgerUrl) {}
