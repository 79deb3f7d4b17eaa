package org.balsambank.core.catalogue.check;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.balsambank.core.document.DocumentReader;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

/** Tests each check with an input file that violates only this check. Confined to one thread. */
final class CatalogueChecksTest {
    @Test
    void unknownField() throws Exception {
        assertOnly("UnknownField", "3:52: unknown field 'colour'");
    }

    @Test
    void duplicateField() throws Exception {
        assertOnly("DuplicateField", "3:52: duplicate field 'rate'");
    }

    @Test
    void missingField() throws Exception {
        assertOnly("MissingField", "3:9: required field 'burst' is missing");
    }

    @Test
    void fieldType() throws Exception {
        assertOnly("FieldType", "3:49: field 'rate' must be of type number, found string");
    }

    @Test
    void emptyText() throws Exception {
        assertOnly("EmptyText", "3:16: 'id' must not be empty");
    }

    @Test
    void negativeLimit() throws Exception {
        assertOnly("NegativeLimit", "3:49: 'rate' must not be negative: -1");
    }

    @Test
    void limitRange() throws Exception {
        assertOnly("LimitRange", "3:74: 'port' is 70000, the maximum is 65535");
    }

    @Test
    void wholeNumber() throws Exception {
        assertOnly("WholeNumber", "3:136: 'concurrency' must be an integer: 1.5");
    }

    @Test
    void zeroLimit() throws Exception {
        assertOnly("ZeroLimit", "3:136: 'concurrency' must not be zero");
    }

    @Test
    void enumValue() throws Exception {
        assertOnly("EnumValue", "3:29: 'unit' is 'letters', expected one of: requests, tokens");
    }

    @Test
    void duplicateTeam() throws Exception {
        assertOnly("DuplicateTeam", "4:16: duplicate 'a' in 'teams', first defined in line 3");
    }

    @Test
    void duplicateAdapter() throws Exception {
        assertOnly("DuplicateAdapter", "10:16: duplicate 'x' in 'adapters', first defined in line 9");
    }

    @Test
    void duplicateTarget() throws Exception {
        assertOnly("DuplicateTarget", "4:16: duplicate 'e' in 'targets', first defined in line 3");
    }

    @Test
    void duplicateService() throws Exception {
        assertOnly("DuplicateService", "7:18: duplicate 's' in 'services', first defined in line 6");
    }

    @Test
    void duplicateKeyName() throws Exception {
        assertOnly("DuplicateKeyName", "5:18: duplicate 'k' in 'keys', first defined in line 4");
    }

    @Test
    void duplicateKeyHash() throws Exception {
        assertOnly("DuplicateKeyHash", "5:75: duplicate '" + "0".repeat(64) + "' in 'keys', first defined in line 4");
    }

    @Test
    void unknownTeam() throws Exception {
        assertOnly("UnknownTeam", "9:52: unknown team 'b'");
    }

    @Test
    void unknownService() throws Exception {
        assertOnly("UnknownService", "3:120: unknown service 's'");
    }

    @Test
    void unknownBaseModel() throws Exception {
        assertOnly("UnknownBaseModel", "6:67: no target runs base model 'm'");
    }

    @Test
    void targetKind() throws Exception {
        assertOnly("TargetKind", "3:9: a target of kind 'model_runner' requires field 'baseModel'");
    }

    @Test
    void adapterVersion() throws Exception {
        assertOnly("AdapterVersion", "9:39: duplicate version '1'");
    }

    @Test
    void adapterName() throws Exception {
        assertOnly("AdapterName", "9:16: name 'x@1' contains '@', which is a separator in requests");
    }

    @Test
    void keyHashForm() throws Exception {
        assertOnly("KeyHashForm", "4:75: field 'hash' is not lower-case hexadecimal of the required length");
    }

    @Test
    void keySaltCount() throws Exception {
        assertOnly("KeySaltCount", "20:33: more than 16 distinct salts");
    }

    @Test
    void hostAddress() throws Exception {
        assertOnly("HostAddress", "3:53: host 'localhost' is not an IP address");
    }

    private static void assertOnly(final String rule, final String expected) throws Exception {
        final String file = "Input" + rule + ".json";
        final List<Violation> violations = CatalogueChecker.check(file, DocumentReader.read(text(file)));
        assertEquals(1, violations.size(), violations::toString);
        assertEquals(rule, violations.get(0).rule());
        assertEquals(
                file + ":" + expected + " [" + rule + "]", violations.get(0).toString());
    }

    private static String text(final String file) throws IOException {
        try (InputStream input = CatalogueChecksTest.class.getResourceAsStream(file)) {
            assertNotNull(input, file);
            return new String(input.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
