package org.balsambank.standin.command;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.json.JsonObject;
import org.balsambank.standin.load.DeploymentFiles;
import org.balsambank.standin.load.Profile;

/**
 * Writes the catalogue, the VM list and the settings of a deployment into a directory.
 *
 * <p>Populated by Airline; runs once.
 */
@Command(name = "deployment", description = "writes catalogue.json, vms.json and the settings of each VM")
public final class DeploymentCommand implements Runnable {
    @Option(name = "--out", description = "directory for the files")
    @Required
    private String out;

    @Option(
            name = "--limits-factor",
            description = "factor applied to the rate and burst of each team; raised for benchmarks")
    private double limitsFactor = 1;

    @Option(name = "--concurrency", description = "maximum number of concurrent requests of an engine")
    private int concurrency = Profile.CONCURRENCY;

    @AirlineModule
    private DeploymentOptions options = new DeploymentOptions();

    @Override
    public void run() {
        final DeploymentFiles files =
                new DeploymentFiles(options.profile(), options.ports(), limitsFactor, concurrency);
        final Path directory = Path.of(out);
        write(directory.resolve("catalogue.json"), files.catalogue());
        write(directory.resolve("vms.json"), files.vmList(options.vms()));
        for (int i = 0; i < options.vms(); i++) {
            write(directory.resolve(DeploymentFiles.vm(i) + ".json"), files.settings(i));
        }
    }

    private static void write(final Path path, final JsonObject json) {
        try {
            Files.createDirectories(path.getParent());
            Files.writeString(path, json.encodePrettily());
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
