package org.balsambank.gateway.caller;

/**
 * A limit of memory that connections share.
 *
 * <p>Confined to the decision loop.
 */
final class MemoryBudget {
    private final long maxBytes;
    private long reservedBytes;

    /**
     * Creates a budget of which nothing is reserved.
     *
     * @param maxBytes the limit in bytes
     */
    MemoryBudget(final long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Reserves memory.
     *
     * @param bytes the number of bytes
     * @return false if the limit would be exceeded; nothing is reserved then
     */
    boolean reserve(final long bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /**
     * Releases reserved memory.
     *
     * @param bytes the number of bytes
     */
    void release(final long bytes) {
        reservedBytes -= bytes;
    }

    /**
     * Returns the reserved memory.
     *
     * @return the number of bytes
     */
    long reservedBytes() {
        return reservedBytes;
    }
}
