package org.balsambank.core.catalogue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import org.balsambank.core.catalogue.key.KeyIndex;
import org.balsambank.core.catalogue.key.KeyMatch;
import org.balsambank.core.id.Revision;
import org.balsambank.core.id.TeamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Tests that the samples are valid and that violations are listed. Confined to one thread. */
final class CatalogueParserTest {
    private static final Path SAMPLES = Path.of("..", "samples");
    private static final Revision REVISION = new Revision(3);

    @ParameterizedTest
    @CsvSource({"ribera, 5, 17, theses", "vysocina, 5, 17, farms", "quickstart, 2, 3, ribera"})
    void parsesSamples(final String sample, final int teams, final int targets, final String team) throws Exception {
        final Catalogue catalogue = CatalogueParser.parse(sample, text(sample), REVISION);
        assertEquals(REVISION, catalogue.revision());
        assertEquals(teams, catalogue.teams().size());
        assertEquals(targets, catalogue.targets().size());
        final KeyIndex keys = KeyIndex.of(catalogue);
        assertEquals(
                Optional.of(new TeamId(team)), keys.find(team + "-demo-key").map(KeyMatch::team));
        assertEquals(Optional.empty(), keys.find("demo-key"));
    }

    @Test
    void listsAllViolationsWithTheirPositions() {
        final String text =
                """
                {
                  // two violations
                  "teams": [{"id": "a", "unit": "requests", "rate": -1, "burst": 1, "size": 2}]
                }
                """;
        final InvalidCatalogueException error =
                assertThrows(InvalidCatalogueException.class, () -> CatalogueParser.parse("c.json", text, REVISION));
        assertEquals(
                """
                c.json:3:53: 'rate' must not be negative: -1 [NegativeLimit]
                c.json:3:69: unknown field 'size' [UnknownField]""",
                error.getMessage());
    }

    @ParameterizedTest
    @CsvSource({"'{', 1", "'[]', 1", "'', 1", "'{} {}', 1", "'{\n\"teams\": nope}', 2"})
    void reportsSyntaxErrors(final String text, final int line) {
        final InvalidCatalogueException error =
                assertThrows(InvalidCatalogueException.class, () -> CatalogueParser.parse("c.json", text, REVISION));
        assertEquals("Syntax", error.violations().get(0).rule());
        assertEquals(line, error.violations().get(0).position().line());
    }

    private static String text(final String sample) throws IOException {
        return Files.readString(SAMPLES.resolve(sample).resolve("catalogue.json"));
    }
}
