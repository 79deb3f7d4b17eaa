package org.balsambank.gateway.caller;

/**
 * A limit of memory that connections share.
 *
 * <p>Confined to the decision loop.
 */
final class MemoryBudget implements MemoryReservation {
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

    @Override
    public boolean reserve(final long bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    @Override
    public void release(final long bytes) {
        reservedBytes -= bytes;
    }

    /**
     * Records memory that is in use already, also beyond the limit.
     *
     * @param bytes the number of bytes
     */
    void add(final long bytes) {
        reservedBytes += bytes;
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
