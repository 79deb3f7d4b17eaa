package org.balsambank.gateway.target;

import java.util.Arrays;

import org.balsambank.core.id.RequestId;

/**
 * The requests that one connection has carried.
 *
 * <p>A target may send a second copy of a response late, and only the request id tells whose it is. So a connection
 * must not carry the same request again: a copy of its first response would be taken for the second.
 *
 * <p>Invariant: holds at most {@value #MAX_REQUESTS} hashes of ids; two ids with the same hash count as the same
 * request. Confined to the decision loop.
 */
final class CarriedRequests {
    private static final int MAX_REQUESTS = 256;
    private static final int INITIAL_CAPACITY = 8;

    private int[] idHashes = new int[INITIAL_CAPACITY];
    private int count;

    /**
     * Records a request. Must not be called when full.
     *
     * @param id the id of the request
     */
    void add(final RequestId id) {
        if (count == idHashes.length) {
            idHashes = Arrays.copyOf(idHashes, 2 * count);
        }
        idHashes[count] = id.value().hashCode();
        count++;
    }

    /**
     * Returns whether the connection may have carried a request.
     *
     * @param id the id of the request
     * @return false if it certainly has not
     */
    boolean mayContain(final RequestId id) {
        return mayContainValue(id.value());
    }

    /**
     * Returns whether a text may be the id of a request that the connection has carried.
     *
     * @param text any text
     * @return false if it certainly is not
     */
    boolean mayContainValue(final String text) {
        final int hash = text.hashCode();
        return Arrays.stream(idHashes, 0, count).anyMatch(each -> each == hash);
    }

    /**
     * Returns whether no further request can be recorded, so that the connection must not carry another.
     *
     * @return true at the limit
     */
    boolean full() {
        return count == MAX_REQUESTS;
    }
}
