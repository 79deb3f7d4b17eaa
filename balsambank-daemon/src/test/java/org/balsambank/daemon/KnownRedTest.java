package org.balsambank.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests that only tests which KNOWN-RED.txt lists are passed over. Confined to one thread. */
final class KnownRedTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final String TAG = "@Tag(\"known" + "-red\")";

    // Guards against tests that are passed over and named nowhere.
    @Test
    void everyTestThatIsPassedOverIsListed() throws IOException {
        final String listed = Files.readString(ROOT.resolve("KNOWN-RED.txt"));
        try (Stream<Path> files = Files.find(ROOT, Integer.MAX_VALUE, (path, attributes) -> isTestSource(path))) {
            final List<String> unlisted = files.filter(KnownRedTest::isTagged)
                    .map(file -> file.getFileName().toString().replace(".java", ""))
                    .filter(name -> !listed.contains(name))
                    .toList();
            assertEquals(List.of(), unlisted);
        }
    }

    private static boolean isTestSource(final Path path) {
        return path.toString().endsWith(".java") && path.toString().contains("/src/test/");
    }

    private static boolean isTagged(final Path file) {
        try {
            return Files.readString(file).contains(TAG);
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
