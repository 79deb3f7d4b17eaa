package org.balsambank.standin.command;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * The options that define the VMs of the VM list.
 *
 * <p>Populated by Airline and not modified afterwards.
 */
public final class VmOptions {
    private static final int FIELDS = 4;

    @Option(name = "--vm", description = "a VM as id,failureDomain,host,peerPort; may be repeated")
    private List<String> vms = new ArrayList<>();

    @Option(name = "--file", description = "file with the VMs in the format of the VM list protocol")
    private String file;

    /**
     * Returns the VMs of the file, followed by those of the options.
     *
     * @return the VMs in the format of the VM list protocol
     */
    public List<JsonObject> vms() {
        final List<JsonObject> all = new ArrayList<>();
        if (file != null) {
            final JsonArray listed = read(Path.of(file)).getJsonArray("vms", new JsonArray());
            for (int i = 0; i < listed.size(); i++) {
                all.add(listed.getJsonObject(i));
            }
        }
        vms.forEach(vm -> all.add(parse(vm)));
        return all;
    }

    private static JsonObject read(final Path path) {
        try {
            return new JsonObject(Files.readString(path));
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static JsonObject parse(final String text) {
        final String[] parts = text.split(",");
        if (parts.length != FIELDS) {
            throw new IllegalArgumentException("VM must have the form id,failureDomain,host,peerPort: " + text);
        }
        return new JsonObject()
                .put("id", parts[0])
                .put("failureDomain", parts[1])
                .put("host", parts[2])
                .put("peerPort", Integer.parseInt(parts[3]))
                .put("state", "live");
    }
}
