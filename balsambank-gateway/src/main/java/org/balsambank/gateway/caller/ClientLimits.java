package org.balsambank.gateway.caller;

import java.lang.management.ManagementFactory;
import java.util.Optional;

import com.sun.management.UnixOperatingSystemMXBean;
import io.netty.util.internal.PlatformDependent;

/**
 * The limits of what all clients of a VM may hold together.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxConnections the most connections of clients
 * @param maxHeapBytes the most bytes of the heap that the heads of their requests may hold
 * @param maxDirectBytes the most bytes of direct memory that bodies, buffers and unread responses may hold
 */
public record ClientLimits(int maxConnections, long maxHeapBytes, long maxDirectBytes) {
    /** Heap that a connection holds without a request: its channel, its handlers and their timers. */
    private static final long HEAP_BYTES_PER_CONNECTION = 16_384;
    /** Of the heap; the rest is for requests that run and for the fleet's state. */
    private static final int HEAP_PARTS = 4;
    /** Of the direct memory; the rest is for reads, responses and the key-value service. */
    private static final int DIRECT_PARTS = 2;
    /** Of the descriptors that are free at the start; the rest is for targets, other VMs and the store. */
    private static final int DESCRIPTOR_PARTS = 2;

    private static final int MIN_CONNECTIONS = 16;

    /**
     * Returns limits that follow from what the process may use.
     *
     * @param maxDescriptors the most descriptors of the process where the operator names fewer than the system allows
     * @return the limits
     */
    public static ClientLimits ofProcess(final Optional<Long> maxDescriptors) {
        final long heap = Runtime.getRuntime().maxMemory();
        final long connections =
                Math.min(freeDescriptors(maxDescriptors) / DESCRIPTOR_PARTS, heap / HEAP_BYTES_PER_CONNECTION);
        return new ClientLimits(
                (int) Math.max(MIN_CONNECTIONS, Math.min(Integer.MAX_VALUE, connections)),
                heap / HEAP_PARTS,
                PlatformDependent.maxDirectMemory() / DIRECT_PARTS);
    }

    private static long freeDescriptors(final Optional<Long> maxDescriptors) {
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system) {
            final long allowed = Math.min(system.getMaxFileDescriptorCount(), maxDescriptors.orElse(Long.MAX_VALUE));
            return allowed - system.getOpenFileDescriptorCount();
        }
        return maxDescriptors.orElse(Long.MAX_VALUE);
    }

    /**
     * Replaces the limits that an operator sets.
     *
     * @param connections the most connections, empty for the one of these limits
     * @param heapBytes the most bytes of the heap, empty for the one of these limits
     * @param directBytes the most bytes of direct memory, empty for the one of these limits
     * @return the limits
     */
    public ClientLimits with(
            final Optional<Integer> connections, final Optional<Long> heapBytes, final Optional<Long> directBytes) {
        return new ClientLimits(
                connections.orElse(maxConnections), heapBytes.orElse(maxHeapBytes), directBytes.orElse(maxDirectBytes));
    }
}
