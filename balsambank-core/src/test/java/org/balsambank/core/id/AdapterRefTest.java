package org.balsambank.core.id;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.StringLength;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Tests the text form of adapter references. Confined to one thread. */
final class AdapterRefTest {
    @Property(seed = "7")
    void parsesItsTextForm(
            @ForAll @AlphaChars @StringLength(min = 1, max = 12) final String adapter,
            @ForAll @AlphaChars @StringLength(min = 1, max = 6) final String version) {
        final AdapterRef ref = new AdapterRef(new AdapterId(adapter), new AdapterVersion(version));
        assertEquals(ref, AdapterRef.parse(ref.toString()));
        assertThrows(IllegalArgumentException.class, () -> AdapterRef.parse(adapter));
    }
}
