package org.balsambank.core.request;

import java.util.List;
import java.util.Optional;

import org.balsambank.core.port.TargetNotice;
import org.balsambank.protocol.generated.relay.RelayHead;
import org.balsambank.protocol.generated.relay.RelayHeader;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests how the words of targets about themselves are read. Confined to one thread. */
final class NoticeHeadersTest {
    @Test
    void responseWithoutTheHeadersSaysNothing() {
        assertEquals(TargetNotice.NONE, NoticeHeaders.read(head("Content-Type", "text/plain")));
        assertEquals(TargetNotice.NONE, NoticeHeaders.read(head("X-Leaving", "0")));
    }

    @Test
    void headersAreReadWhateverTheirCase() {
        assertEquals(
                new TargetNotice(true, Optional.of("1.5"), List.of("2", "3")),
                NoticeHeaders.read(
                        head("x-leaving", "1", "retry-after", "1.5", "X-REQUEST-LIMIT", "2", "x-request-limit", "3")));
    }

    private static RelayHead head(final String... namesAndValues) {
        final RelayHead.Builder head = RelayHead.newBuilder().setStatus(200);
        for (int i = 0; i < namesAndValues.length; i += 2) {
            head.addHeaders(RelayHeader.newBuilder().setName(namesAndValues[i]).setValue(namesAndValues[i + 1]));
        }
        return head.build();
    }
}
