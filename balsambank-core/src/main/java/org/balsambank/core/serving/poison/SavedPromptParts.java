package org.balsambank.core.serving.poison;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.balsambank.core.id.PromptPartId;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.target.SavedEvidence;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.serving.PartReport;

/**
 * Saves the evidence against parts of prompts that decides which requests are refused; the subject is the id of a part.
 *
 * <p>Confined to the decision loop.
 */
public final class SavedPromptParts extends SavedEvidence {
    private static final String PREFIX = "crash/parts/";

    private final PromptPartTracker tracker;

    /**
     * Creates an instance that has neither loaded nor saved anything.
     *
     * @param tracker the evidence that this VM knows
     * @param store the key-value service
     * @param decides whether this VM decides about a part
     * @param timer the timer service
     * @param log the decision log
     */
    public SavedPromptParts(
            final PromptPartTracker tracker,
            final KeyValueStore store,
            final Predicate<String> decides,
            final TimerService timer,
            final DecisionLog log) {
        super(PREFIX, store, decides, timer, log);
        this.tracker = Objects.requireNonNull(tracker);
    }

    @Override
    public String name() {
        return "saved-prompt-parts";
    }

    @Override
    protected Map<String, ByteString> evidence() {
        final Map<String, ByteString> evidence = new HashMap<>();
        for (final PromptPartId part : tracker.decisiveParts()) {
            tracker.report(part).ifPresent(report -> evidence.put(part.value(), report.toByteString()));
        }
        return evidence;
    }

    @Override
    protected Set<String> drainObserved() {
        return tracker.drainObserved().stream().map(PromptPartId::value).collect(Collectors.toSet());
    }

    @Override
    protected boolean upToDate(final ByteString savedValue, final ByteString current)
            throws InvalidProtocolBufferException {
        final PartEvidence saved = PartReportCodec.decode(PartReport.parseFrom(savedValue));
        return saved.merge(PartReportCodec.decode(PartReport.parseFrom(current)))
                .equals(saved);
    }

    @Override
    protected void load(final ByteString value) throws InvalidProtocolBufferException {
        tracker.recordReport(PartReport.parseFrom(value));
    }

    /** Does nothing: a part is cleared by the response that the other VM saw, which it reports to all. */
    @Override
    protected void forget(final String subject) {}
}
