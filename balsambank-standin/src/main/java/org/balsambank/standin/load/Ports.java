package org.balsambank.standin.load;

/**
 * The TCP ports of a deployment on loopback.
 *
 * <p>Immutable and thread-safe.
 *
 * @param offset the number added to each port, so that deployments can run side by side
 */
public record Ports(int offset) {
    /** The IP address of all servers. */
    public static final String HOST = "127.0.0.1";

    private static final int CALLERS = 18081;
    private static final int OPERATORS = 18091;
    private static final int PEERS = 18101;
    private static final int KEY_VALUE = 18200;
    private static final int VM_LIST = 18201;
    private static final int ENGINES = 21001;
    private static final int SERVICES = 21101;

    /**
     * Returns the callers' port of a VM.
     *
     * @param index zero-based index of the VM
     * @return the TCP port
     */
    public int callers(final int index) {
        return CALLERS + index + offset;
    }

    /**
     * Returns the operators' port of a VM.
     *
     * @param index zero-based index of the VM
     * @return the TCP port
     */
    public int operators(final int index) {
        return OPERATORS + index + offset;
    }

    /**
     * Returns the port of a VM for its peers.
     *
     * @param index zero-based index of the VM
     * @return the TCP port
     */
    public int peers(final int index) {
        return PEERS + index + offset;
    }

    /**
     * Returns the port of the key-value service.
     *
     * @return the TCP port
     */
    public int keyValue() {
        return KEY_VALUE + offset;
    }

    /**
     * Returns the port of the VM list.
     *
     * @return the TCP port
     */
    public int vmList() {
        return VM_LIST + offset;
    }

    /**
     * Returns the port of an engine.
     *
     * @param index zero-based index of the engine
     * @return the TCP port
     */
    public int engine(final int index) {
        return ENGINES + index + offset;
    }

    /**
     * Returns the port of an application runner.
     *
     * @param index zero-based index of the application runner
     * @return the TCP port
     */
    public int service(final int index) {
        return SERVICES + index + offset;
    }
}
