package org.balsambank.gateway.caller;

import java.util.Objects;

import org.balsambank.gateway.caller.ClientAccounts.Kind;

/**
 * What one connection of a client holds.
 *
 * <p>Invariant: once closed, it holds nothing and can reserve nothing. Confined to the decision loop.
 */
final class ClientAccount {
    /** A connection that can be dropped. */
    interface Client {
        /**
         * Returns whether the connection may be closed to make room for another.
         *
         * @return false while a request runs
         */
        boolean droppable();

        /** Closes the connection at once and frees what it holds. A request that was not read whole is refused. */
        void drop();
    }

    private final ClientAccounts accounts;
    private final Client client;
    private final long[] held = new long[Kind.values().length];
    private final MemoryReservation heap = new Reservation(Kind.HEAP);
    private final MemoryReservation direct = new Reservation(Kind.DIRECT);
    private long sinceNanos;
    private long receivedBytes;
    private long requests;
    private long bufferedBytes;
    private long unwrittenBytes;
    private int decodedUnits;
    private boolean closed;

    /**
     * Opens an account.
     *
     * @param accounts the accounts of all clients
     * @param client the client
     * @param nowNanos the monotonic time
     */
    ClientAccount(final ClientAccounts accounts, final Client client, final long nowNanos) {
        this.accounts = Objects.requireNonNull(accounts);
        this.client = Objects.requireNonNull(client);
        sinceNanos = nowNanos;
    }

    /** Returns the client. */
    Client client() {
        return client;
    }

    /** Returns how much the connection holds. */
    long held(final Kind kind) {
        return held[kind.ordinal()];
    }

    /** Returns the heap for the heads of the connection. */
    MemoryReservation heap() {
        return heap;
    }

    /** Returns the direct memory for the bodies of the connection. */
    MemoryReservation direct() {
        return direct;
    }

    /** Returns when the current request, or else the wait for it, began. */
    long sinceNanos() {
        return sinceNanos;
    }

    /** Returns how much was received of the current request, and was read of responses meanwhile. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Returns the number of requests that were read whole. */
    long requests() {
        return requests;
    }

    /** Records that a request begins. */
    void requestBegun() {
        sinceNanos = accounts.nanoTime();
        receivedBytes = 0;
    }

    /** Records that a request was answered. */
    void requestEnded() {
        requests++;
        requestBegun();
    }

    /** Records bytes that were received. */
    void received(final int bytes) {
        receivedBytes += bytes;
    }

    /** Records what was read and is not decoded. */
    void setBuffered(final long bytes) {
        change(bytes - bufferedBytes);
        bufferedBytes = closed ? 0 : bytes;
    }

    /** Records what was written and is not sent, as the client does not read. What it reads counts as progress. */
    void setUnwritten(final long bytes) {
        receivedBytes += Math.max(0, unwrittenBytes - bytes);
        change(bytes - unwrittenBytes);
        unwrittenBytes = closed ? 0 : bytes;
    }

    private void change(final long bytes) {
        if (bytes > 0 && !closed) {
            accounts.add(this, Kind.DIRECT, bytes);
            held[Kind.DIRECT.ordinal()] += bytes;
        } else {
            release(Kind.DIRECT, -bytes);
        }
    }

    /** Records a field, a chunk or another part that was decoded. */
    void unitDecoded() {
        decodedUnits++;
    }

    /** Returns how many parts were decoded since the last call. */
    int takeDecodedUnits() {
        final int units = decodedUnits;
        decodedUnits = 0;
        return units;
    }

    /** Returns the accounts of all clients. */
    ClientAccounts accounts() {
        return accounts;
    }

    private void release(final Kind kind, final long bytes) {
        final long released = Math.min(bytes, held[kind.ordinal()]);
        held[kind.ordinal()] -= released;
        accounts.release(kind, released);
    }

    /** Releases all memory. */
    void releaseAll() {
        for (final Kind kind : Kind.values()) {
            release(kind, held[kind.ordinal()]);
        }
        bufferedBytes = 0;
        unwrittenBytes = 0;
    }

    /** Closes the account, as the connection is closed. */
    void close() {
        if (!closed) {
            releaseAll();
            closed = true;
            accounts.remove(this);
        }
    }

    /** The memory of one kind. */
    private final class Reservation implements MemoryReservation {
        private final Kind kind;

        private Reservation(final Kind kind) {
            this.kind = kind;
        }

        @Override
        public boolean reserve(final long bytes) {
            if (closed || !accounts.reserve(ClientAccount.this, kind, bytes)) {
                return false;
            }
            held[kind.ordinal()] += bytes;
            return true;
        }

        @Override
        public void release(final long bytes) {
            ClientAccount.this.release(kind, bytes);
        }
    }
}
