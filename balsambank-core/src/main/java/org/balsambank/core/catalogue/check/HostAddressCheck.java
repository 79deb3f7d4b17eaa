package org.balsambank.core.catalogue.check;

import java.util.regex.Pattern;

import org.balsambank.core.catalogue.document.Section;
import org.balsambank.core.document.DocumentNode;

/**
 * Checks that the host of a target is an IP address.
 *
 * <p>An instance checks one file and is confined to one thread.
 */
final class HostAddressCheck extends AbstractCheck {
    /** The message key. */
    static final String MSG_HOST = "host.form";

    private static final String OCTET = "(25[0-5]|2[0-4]\\d|1?\\d?\\d)";
    private static final Pattern IPV4 = Pattern.compile("(" + OCTET + "\\.){3}" + OCTET);
    private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");

    @Override
    void visitEntry(final Section section, final DocumentNode entry) {
        entry.field("host").ifPresent(this::visitHost);
    }

    private void visitHost(final DocumentNode host) {
        if (!IPV4.matcher(host.text()).matches() && !IPV6.matcher(host.text()).matches()) {
            addViolation(host.position(), MSG_HOST, host.text());
        }
    }
}
