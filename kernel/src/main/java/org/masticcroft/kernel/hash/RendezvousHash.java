package org.masticcroft.kernel.hash;

import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * Rendezvous hashing: each member has a score for a key, and the member with the highest score owns the key. When a
 * member leaves, only the keys that it owned move to other members.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Returns the score of a member for a key.
     *
     * @param key the key; keys need not be uniformly distributed
     * @param member name of the member
     */
    public static long score(long key, String member) {
        long mixedKey = new SplitMix64(key).nextLong();
        return new SplitMix64(mixedKey + member.hashCode()).nextLong();
    }
}
