package org.balsambank.core.error;

import java.util.Arrays;
import java.util.stream.Collectors;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Tests the HTTP status and retry advice of each error kind. Confined to one thread. */
final class ErrorKindTest {
    @Test
    void tableIsAsApproved() {
        final String table = Arrays.stream(ErrorKind.values())
                .map(kind ->
                        kind.code() + " " + kind.status() + " ran=" + kind.executed() + " retry=" + kind.retrySafety())
                .collect(Collectors.joining("\n"));
        Approvals.verify(table);
    }
}
