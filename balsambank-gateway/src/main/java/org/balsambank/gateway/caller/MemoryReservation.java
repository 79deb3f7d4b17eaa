package org.balsambank.gateway.caller;

/** Memory that is reserved before it is used. Confined to the decision loop. */
interface MemoryReservation {
    /**
     * Reserves memory.
     *
     * @param bytes the number of bytes
     * @return false if the limit would be exceeded; nothing is reserved then
     */
    boolean reserve(long bytes);

    /**
     * Releases reserved memory.
     *
     * @param bytes the number of bytes
     */
    void release(long bytes);
}
