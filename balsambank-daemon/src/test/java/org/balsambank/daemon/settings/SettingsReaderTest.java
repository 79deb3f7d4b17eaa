package org.balsambank.daemon.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.approvaltests.Approvals;
import org.balsambank.core.id.VmId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Tests the parsing and validation of settings. Confined to one thread. */
final class SettingsReaderTest {
    private static final String VALID =
            """
            {
              "vm": "belen-1", "failureDomain": "belen", // comments are allowed
              "callers": {"host": "127.0.0.1", "port": 18081},
              "operators": {"host": "127.0.0.1", "port": 18091, "token": "0123456789abcdef"},
              "peers": {"host": "127.0.0.1", "port": 18101, "fleetToken": "0123456789abcdef"},
              "keyValue": {"url": "http://127.0.0.1:18200"},
              "vmList": {"url": "http://127.0.0.1:18201"}
            }
            """;

    @Test
    void reportsAllProblemsWithPositions() throws IOException {
        final String text = resource("broken.json");
        final SettingsException error =
                assertThrows(SettingsException.class, () -> SettingsReader.read(text, "broken.json"));
        Approvals.verify(error.getMessage());
    }

    @Test
    void reportsPositionOfSyntaxError() {
        final SettingsException error =
                assertThrows(SettingsException.class, () -> SettingsReader.read("{\n  \"vm\": }", "x.json"));
        assertEquals(2, error.problems().get(0).position().line());
    }

    @Test
    void appliesDefaults() throws SettingsException {
        final Settings settings = SettingsReader.read(VALID, "good.json");
        assertEquals(new VmId("belen-1"), settings.vm());
        assertEquals(64, settings.partitions());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "quickstart/vm1",
                "quickstart/vm2",
                "quickstart/vm3",
                "ribera/vm-belen-1",
                "vysocina/vm-jihlava-1"
            })
    void sampleSettingsAreValid(final String sample) throws IOException, SettingsException {
        final Path file = Path.of("../samples/" + sample + ".json");
        assertEquals(64, SettingsReader.read(Files.readString(file), sample).partitions());
    }

    private static String resource(final String name) throws IOException {
        try (InputStream stream = SettingsReaderTest.class.getResourceAsStream(name)) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
