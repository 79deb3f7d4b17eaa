package org.balsambank.standin.experiment;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that lent shares never admit more than the rate allows. Confined to one thread. */
final class RateExperimentTest {
    @Test
    void sharesNeverAdmitAboveTheRate() {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        RateExperiment.run(7, 1, List.of(RatePolicy.SHARES), new PrintStream(bytes, true, StandardCharsets.UTF_8));
        final String table = bytes.toString(StandardCharsets.UTF_8);
        assertTrue(table.lines().anyMatch(line -> line.matches("shares +worst +0\\.0 .*")), table);
        assertTrue(table.contains("shares            messages") && table.contains("broken invariants 0"), table);
    }
}
