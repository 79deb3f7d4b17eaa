package org.balsambank.daemon.settings;

import java.util.Arrays;
import java.util.Optional;

import org.balsambank.core.document.DocumentNode.Kind;

/**
 * The settings of a VM, each with its path in the file, the form of its value and its default.
 *
 * <p>Immutable and thread-safe. A setting without a default is required.
 */
enum Setting {
    VM("vm", Form.NAME, null),
    FAILURE_DOMAIN("failureDomain", Form.NAME, null),
    CALLERS_HOST("callers.host", Form.HOST, null),
    CALLERS_PORT("callers.port", Form.PORT, null),
    CALLERS_BODY_BYTES("callers.maxBodyBytes", Form.BYTES, "1048576"),
    CALLERS_HEADER_BYTES("callers.maxHeaderBytes", Form.BYTES, "16384"),
    CALLERS_SEND_TIMEOUT("callers.sendTimeoutMillis", Form.MILLIS, "10000"),
    CALLERS_IDLE_TIMEOUT("callers.idleTimeoutMillis", Form.MILLIS, "75000"),
    CALLERS_ANSWER_TIMEOUT("callers.answerTimeoutMillis", Form.MILLIS, "120000"),
    OPERATORS_HOST("operators.host", Form.HOST, null),
    OPERATORS_PORT("operators.port", Form.PORT, null),
    OPERATORS_TOKEN("operators.token", Form.SECRET, null),
    PEERS_HOST("peers.host", Form.HOST, null),
    PEERS_PORT("peers.port", Form.PORT, null),
    PEERS_TOKEN("peers.fleetToken", Form.SECRET, null),
    KEY_VALUE_URL("keyValue.url", Form.URL, null),
    KEY_VALUE_TIMEOUT("keyValue.timeoutMillis", Form.MILLIS, "2000"),
    VM_LIST_URL("vmList.url", Form.URL, null),
    VM_LIST_PERIOD("vmList.periodMillis", Form.MILLIS, "2000"),
    PARTITIONS("partitions", Form.COUNT, "64"),
    LEASE_TTL("lease.ttlMillis", Form.MILLIS, "5000"),
    LEASE_RENEW("lease.renewMillis", Form.MILLIS, "1250"),
    IDEMPOTENCY_RETENTION("idempotency.retentionMillis", Form.MILLIS, "86400000"),
    STOP_BALANCER_WAIT("stop.balancerWaitMillis", Form.MILLIS, "2000"),
    STOP_TIMEOUT("stop.timeoutMillis", Form.MILLIS, "120000"),
    TRACES_KEPT("traces.kept", Form.COUNT, "5000");

    private final String path;
    private final Form form;
    private final String defaultText;

    Setting(final String path, final Form form, final String defaultText) {
        this.path = path;
        this.form = form;
        this.defaultText = defaultText;
    }

    /**
     * Returns the setting with a path.
     *
     * @param path the field names from the outermost to the innermost, joined by dots
     * @return the setting, if the path is known
     */
    static Optional<Setting> ofPath(final String path) {
        return Arrays.stream(values())
                .filter(setting -> setting.path.equals(path))
                .findFirst();
    }

    /**
     * Returns whether a path is that of an object that contains settings.
     *
     * @param path the path of an object in the settings file
     * @return true if the path is a proper prefix of the path of a setting
     */
    static boolean isGroup(final String path) {
        return Arrays.stream(values()).anyMatch(setting -> setting.path.startsWith(path + "."));
    }

    /**
     * Returns the path of the setting in the file.
     *
     * @return the field names, joined by dots
     */
    String path() {
        return path;
    }

    /**
     * Returns the form of the value.
     *
     * @return the form
     */
    Form form() {
        return form;
    }

    /**
     * Returns the value that applies if the setting is missing.
     *
     * @return the default as text, or empty if the setting is required
     */
    Optional<String> defaultText() {
        return Optional.ofNullable(defaultText);
    }

    /** The forms of values. */
    enum Form {
        /** A non-empty name. */
        NAME(Kind.STRING, 0, 0),
        /** An IP address. */
        HOST(Kind.STRING, 0, 0),
        /** The URL of an HTTP server. */
        URL(Kind.STRING, 0, 0),
        /** A shared secret. */
        SECRET(Kind.STRING, 0, 0),
        /** A TCP port. */
        PORT(Kind.NUMBER, 1, 65_535),
        /** A size in bytes. */
        BYTES(Kind.NUMBER, 1024, 1 << 28),
        /** A duration in milliseconds, at most 31 days. */
        MILLIS(Kind.NUMBER, 1, 2_678_400_000L),
        /** A positive count. */
        COUNT(Kind.NUMBER, 1, 1 << 20);

        private final Kind kind;
        private final long min;
        private final long max;

        Form(final Kind kind, final long min, final long max) {
            this.kind = kind;
            this.min = min;
            this.max = max;
        }

        /**
         * Returns the required kind of JSON value.
         *
         * @return the kind
         */
        Kind kind() {
            return kind;
        }

        /**
         * Returns the lowest number allowed.
         *
         * @return the bound, in the unit of the setting
         */
        long min() {
            return min;
        }

        /**
         * Returns the highest number allowed.
         *
         * @return the bound, in the unit of the setting
         */
        long max() {
            return max;
        }
    }
}
