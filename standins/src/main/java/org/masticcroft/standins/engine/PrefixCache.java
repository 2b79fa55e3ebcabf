package org.masticcroft.standins.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.masticcroft.standins.digest.Sha256;

/**
 * Bounded cache of prompt prefixes by block, least recently used first out. The key of a block covers the weights
 * digest and all text up to its end, so blocks of different weights never match.
 */
final class PrefixCache {
    /** Characters of one block: about 16 tokens. */
    static final int BLOCK_CHARACTERS = 64;

    private static final int KV_BYTES = 4096;
    private static final int SEED_DIGITS = 15;

    private final Set<String> blocks = new LinkedHashSet<>();
    private final int bound;
    private final CacheEvents events;

    private PrefixCache(int bound, CacheEvents events) {
        this.bound = bound;
        this.events = events;
    }

    static PrefixCache of(int bound, CacheEvents events) {
        return new PrefixCache(bound, events);
    }

    /** Returns the keys of the full blocks of a prompt. */
    static List<String> keys(String weightsDigest, String prompt) {
        List<String> keys = new ArrayList<>();
        String previous = weightsDigest;
        for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
            previous = Sha256.hex(previous + "|" + prompt.substring(end - BLOCK_CHARACTERS, end));
            keys.add(previous);
        }
        return keys;
    }

    /** Returns how many leading blocks are cached, and caches all of them. */
    synchronized int use(List<String> keys) {
        int hits = 0;
        while (hits < keys.size() && blocks.contains(keys.get(hits))) {
            hits++;
        }
        keys.forEach(this::touch);
        return hits;
    }

    synchronized boolean contains(String key) {
        return blocks.contains(key);
    }

    /** Imports a block and returns whether its content is that of its key. */
    synchronized boolean put(String key, byte[] content) {
        if (!Arrays.equals(content, content(key))) {
            return false;
        }
        touch(key);
        return true;
    }

    /** Returns the content of a block, which follows from its key. */
    static byte[] content(String key) {
        byte[] content = new byte[KV_BYTES];
        new SplittableRandom(Long.parseLong(Sha256.hex(key).substring(0, SEED_DIGITS), 16)).nextBytes(content);
        return content;
    }

    private void touch(String key) {
        if (!blocks.remove(key)) {
            events.add("stored", key);
        }
        blocks.add(key);
        Iterator<String> oldest = blocks.iterator();
        while (blocks.size() > bound) {
            String evicted = oldest.next();
            oldest.remove();
            events.add("evicted", evicted);
        }
    }
}
