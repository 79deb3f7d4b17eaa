package org.balsambank.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;

import net.openhft.hashing.LongHashFunction;

/**
 * A prefix cache with a limited number of prompt blocks and least-recently-used eviction.
 *
 * <p>Confined to the event loop of its engine.
 */
final class PrefixCache {
    private static final LongHashFunction HASH = LongHashFunction.xx3();
    private static final int BLOCK_CHARS = 64;
    private static final int CHARS_PER_TOKEN = 4;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxBlocks;
    private final Map<Long, Boolean> blocks;

    private long hits;
    private long misses;

    /**
     * Creates an empty cache.
     *
     * @param maxBlocks the maximum number of blocks
     */
    PrefixCache(final int maxBlocks) {
        this.maxBlocks = maxBlocks;
        this.blocks = new LinkedHashMap<>(maxBlocks, LOAD_FACTOR, true);
    }

    /**
     * Looks up the prefixes of a prompt and caches those that are missing.
     *
     * @param adapter the adapter and version
     * @param prompt the prompt
     * @return the number of prompt tokens that must be computed
     */
    int uncachedTokens(final String adapter, final String prompt) {
        long hash = HASH.hashChars(adapter);
        int cachedChars = 0;
        boolean matching = true;
        for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
            hash = HASH.hashLong(hash ^ HASH.hashChars(prompt, end - BLOCK_CHARS, BLOCK_CHARS));
            matching = matching && blocks.get(hash) != null;
            if (matching) {
                cachedChars = end;
                hits++;
            } else {
                misses++;
                blocks.put(hash, Boolean.TRUE);
            }
        }
        trim();
        return (prompt.length() - cachedChars) / CHARS_PER_TOKEN;
    }

    /** Removes all blocks; the counters stay. */
    void clear() {
        blocks.clear();
    }

    /**
     * Returns the number of blocks that were found in the cache.
     *
     * @return the number of hits
     */
    long hits() {
        return hits;
    }

    /**
     * Returns the number of blocks that were not found in the cache.
     *
     * @return the number of misses
     */
    long misses() {
        return misses;
    }

    private void trim() {
        final var oldest = blocks.keySet().iterator();
        for (int surplus = blocks.size() - maxBlocks; surplus > 0; surplus--) {
            oldest.next();
            oldest.remove();
        }
    }
}
