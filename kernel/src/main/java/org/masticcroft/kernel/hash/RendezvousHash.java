package org.masticcroft.kernel.hash;

import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * Scores of members for a key, for rendezvous hashing: the member with the highest score owns the key. When a member
 * leaves, only its own keys move.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Returns the score of a member for a key.
     *
     * @param key the key, in any distribution
     * @param member name of the member
     */
    public static long score(long key, String member) {
        long mixedKey = new SplitMix64(key).nextLong();
        return new SplitMix64(mixedKey + member.hashCode()).nextLong();
    }
}
