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
 * Bounded cache of prompt prefixes in blocks, with least-recently-used eviction. The key of a block covers the weights
 * digest and all text up to its end, so blocks of different weights never match.
 */
final class PrefixCache {
    /** Characters in one block: about 16 tokens. */
    static final int BLOCK_CHARACTERS = 64;

    private static final int KV_BLOCK_BYTES = 4096;
    private static final int SEED_HEX_DIGITS = 15;

    private final Set<String> blocks = new LinkedHashSet<>();
    private final int maxBlocks;
    private final CacheEvents events;

    private PrefixCache(int maxBlocks, CacheEvents events) {
        this.maxBlocks = maxBlocks;
        this.events = events;
    }

    static PrefixCache of(int maxBlocks, CacheEvents events) {
        return new PrefixCache(maxBlocks, events);
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

    /** Returns how many leading blocks of a prompt were cached, and then caches all of its blocks. */
    synchronized int lookUpAndStore(List<String> keys) {
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

    /** Imports a block if its content matches its key, and returns whether it did. */
    synchronized boolean put(String key, byte[] content) {
        if (!Arrays.equals(content, content(key))) {
            return false;
        }
        touch(key);
        return true;
    }

    /** Returns the content of a block, generated from its key. */
    static byte[] content(String key) {
        byte[] content = new byte[KV_BLOCK_BYTES];
        new SplittableRandom(Long.parseLong(Sha256.hex(key).substring(0, SEED_HEX_DIGITS), 16)).nextBytes(content);
        return content;
    }

    private void touch(String key) {
        if (!blocks.remove(key)) {
            events.add("stored", key);
        }
        blocks.add(key);
        Iterator<String> oldest = blocks.iterator();
        while (blocks.size() > maxBlocks) {
            String evicted = oldest.next();
            oldest.remove();
            events.add("evicted", evicted);
        }
    }
}
