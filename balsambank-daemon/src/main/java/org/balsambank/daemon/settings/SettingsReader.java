package org.balsambank.daemon.settings;

import java.math.BigDecimal;
import java.net.URI;
import java.net.URISyntaxException;
import java.text.MessageFormat;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.ResourceBundle;

import io.netty.util.NetUtil;
import org.balsambank.core.document.DocumentNode;
import org.balsambank.core.document.DocumentNode.Kind;
import org.balsambank.core.document.DocumentReader;
import org.balsambank.core.document.DocumentSyntaxException;
import org.balsambank.core.document.Position;
import org.balsambank.core.id.FailureDomain;
import org.balsambank.core.id.VmId;
import org.balsambank.daemon.http.CallerLimits;

/**
 * Reads the settings of a VM from JSON with comments, and reports all problems together.
 *
 * <p>Confined to one thread. Each instance reads one file.
 */
public final class SettingsReader {
    private static final String MSG_UNKNOWN = "setting.unknown";
    private static final String MSG_DUPLICATE = "setting.duplicate";
    private static final String MSG_MISSING = "setting.missing";
    private static final String MSG_KIND = "setting.kind";
    private static final String MSG_EMPTY = "setting.empty";
    private static final String MSG_RANGE = "setting.range";
    private static final String MSG_WHOLE = "setting.whole";
    private static final String MSG_HOST = "setting.host";
    private static final String MSG_URL = "setting.url";
    private static final String MSG_SECRET = "setting.secret";
    private static final String MSG_LEASE = "setting.lease";
    private static final String MSG_SYNTAX = "document.syntax";
    private static final String MSG_OBJECT = "document.object";
    private static final int MIN_SECRET_LENGTH = 16;
    private static final int RENEWALS_PER_LEASE = 3;
    private static final Position START = new Position(1, 1);
    private static final ResourceBundle MESSAGES =
            ResourceBundle.getBundle("org.balsambank.daemon.settings.messages", Locale.ROOT);

    private final String file;
    private final Map<Setting, DocumentNode> nodes = new EnumMap<>(Setting.class);
    private final List<SettingsProblem> problems = new ArrayList<>();

    private SettingsReader(final String file) {
        this.file = file;
    }

    /**
     * Reads and validates settings.
     *
     * @param text the content of the file
     * @param file the name of the file, for messages
     * @return the settings
     * @throws SettingsException if there is any problem
     */
    public static Settings read(final String text, final String file) throws SettingsException {
        return new SettingsReader(file).read(text);
    }

    private Settings read(final String text) throws SettingsException {
        final DocumentNode root;
        try {
            root = DocumentReader.read(text);
        } catch (final DocumentSyntaxException e) {
            problem(e.position(), MSG_SYNTAX, e.getMessage());
            throw new SettingsException(file, problems);
        }
        if (root.kind() != Kind.OBJECT) {
            problem(root.position(), MSG_OBJECT);
            throw new SettingsException(file, problems);
        }
        collect("", root);
        for (final Setting setting : Setting.values()) {
            check(setting);
        }
        checkLease();
        if (!problems.isEmpty()) {
            throw new SettingsException(file, problems);
        }
        return build();
    }

    private void collect(final String prefix, final DocumentNode object) {
        for (final DocumentNode.Field field : object.fields()) {
            final String path = prefix + field.name();
            final Optional<Setting> setting = Setting.ofPath(path);
            if (setting.isPresent()) {
                if (nodes.putIfAbsent(setting.get(), field.value()) != null) {
                    problem(field.position(), MSG_DUPLICATE, path);
                }
            } else if (Setting.isGroup(path) && field.value().kind() == Kind.OBJECT) {
                collect(path + ".", field.value());
            } else {
                problem(field.position(), MSG_UNKNOWN, path);
            }
        }
    }

    private void check(final Setting setting) {
        final DocumentNode node = nodes.get(setting);
        if (node == null) {
            if (setting.defaultText().isEmpty()) {
                problem(START, MSG_MISSING, setting.path());
            }
            return;
        }
        if (node.kind() != setting.form().kind()) {
            final String kind = setting.form().kind().name().toLowerCase(Locale.ROOT);
            problem(node.position(), MSG_KIND, setting.path(), kind);
        } else if (node.kind() == Kind.NUMBER) {
            checkNumber(setting, node);
        } else {
            checkText(setting, node);
        }
    }

    private void checkNumber(final Setting setting, final DocumentNode node) {
        final BigDecimal number = new BigDecimal(node.text());
        final BigDecimal min = BigDecimal.valueOf(setting.form().min());
        final BigDecimal max = BigDecimal.valueOf(setting.form().max());
        if (number.compareTo(min) < 0 || number.compareTo(max) > 0) {
            problem(node.position(), MSG_RANGE, setting.path(), node.text(), min.toString(), max.toString());
        } else if (number.stripTrailingZeros().scale() > 0) {
            problem(node.position(), MSG_WHOLE, setting.path(), node.text());
        }
    }

    private void checkText(final Setting setting, final DocumentNode node) {
        final String text = node.text();
        if (text.isBlank()) {
            problem(node.position(), MSG_EMPTY, setting.path());
            return;
        }
        switch (setting.form()) {
            case HOST ->
                require(
                        NetUtil.isValidIpV4Address(text) || NetUtil.isValidIpV6Address(text),
                        node,
                        MSG_HOST,
                        setting.path(),
                        text);
            case URL -> require(isHttpAddress(text), node, MSG_URL, setting.path(), text);
            case SECRET ->
                require(
                        text.length() >= MIN_SECRET_LENGTH,
                        node,
                        MSG_SECRET,
                        setting.path(),
                        Integer.toString(MIN_SECRET_LENGTH));
            default -> {}
        }
    }

    private void checkLease() {
        final Long renewal = numberIfValid(Setting.LEASE_RENEW);
        final Long timeToLive = numberIfValid(Setting.LEASE_TTL);
        if (renewal != null && timeToLive != null && renewal * RENEWALS_PER_LEASE > timeToLive) {
            final DocumentNode node = nodes.getOrDefault(Setting.LEASE_RENEW, nodes.get(Setting.LEASE_TTL));
            problem(node == null ? START : node.position(), MSG_LEASE, renewal.toString(), timeToLive.toString());
        }
    }

    private Long numberIfValid(final Setting setting) {
        final DocumentNode node = nodes.get(setting);
        return node == null || node.kind() == Kind.NUMBER ? new BigDecimal(text(setting)).longValue() : null;
    }

    private static boolean isHttpAddress(final String text) {
        try {
            final URI uri = new URI(text);
            return "http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0;
        } catch (final URISyntaxException e) {
            return false;
        }
    }

    private Settings build() {
        return new Settings(
                new VmId(text(Setting.VM)),
                new FailureDomain(text(Setting.FAILURE_DOMAIN)),
                new Settings.Endpoint(text(Setting.CALLERS_HOST), number(Setting.CALLERS_PORT), ""),
                new CallerLimits(
                        number(Setting.CALLERS_BODY_BYTES),
                        number(Setting.CALLERS_HEADER_BYTES),
                        millis(Setting.CALLERS_SEND_TIMEOUT),
                        millis(Setting.CALLERS_IDLE_TIMEOUT),
                        millis(Setting.CALLERS_ANSWER_TIMEOUT)),
                new Settings.Endpoint(
                        text(Setting.OPERATORS_HOST), number(Setting.OPERATORS_PORT), text(Setting.OPERATORS_TOKEN)),
                new Settings.Endpoint(text(Setting.PEERS_HOST), number(Setting.PEERS_PORT), text(Setting.PEERS_TOKEN)),
                text(Setting.KEY_VALUE_URL),
                millis(Setting.KEY_VALUE_TIMEOUT),
                text(Setting.VM_LIST_URL),
                millis(Setting.VM_LIST_PERIOD),
                number(Setting.PARTITIONS),
                millis(Setting.LEASE_TTL),
                millis(Setting.LEASE_RENEW),
                millis(Setting.IDEMPOTENCY_RETENTION),
                millis(Setting.STOP_BALANCER_WAIT),
                millis(Setting.STOP_TIMEOUT),
                number(Setting.TRACES_KEPT));
    }

    private String text(final Setting setting) {
        final DocumentNode node = nodes.get(setting);
        return node == null ? setting.defaultText().orElseThrow() : node.text();
    }

    private int number(final Setting setting) {
        return new BigDecimal(text(setting)).intValue();
    }

    private Duration millis(final Setting setting) {
        return Duration.ofMillis(new BigDecimal(text(setting)).longValue());
    }

    private void require(
            final boolean condition, final DocumentNode node, final String key, final String... arguments) {
        if (!condition) {
            problem(node.position(), key, arguments);
        }
    }

    private void problem(final Position place, final String key, final String... arguments) {
        problems.add(new SettingsProblem(place, MessageFormat.format(MESSAGES.getString(key), (Object[]) arguments)));
    }
}
