package org.balsambank.core.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.log.DecisionLog;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.core.time.TimerService;
import org.balsambank.protocol.generated.target.SavedRequest;

/**
 * Saves the requests that must not run again; the subject is their fingerprint.
 *
 * <p>Invariant: at most {@value #MAX_SAVED} requests are saved, those with the most recent crashes. Confined to the
 * decision loop.
 */
public final class SavedPoisonRequests extends SavedEvidence {
    private static final String PREFIX = "crash/requests/";
    private static final int MAX_SAVED = 1_000;
    /** Leaves a loaded verdict at least an hour, in case the wall clock of this VM is wrong. */
    private static final Duration MAX_LOADED_AGE = PoisonRequestRegistry.TTL.minusHours(1);

    private final PoisonRequestRegistry registry;
    private final LongSupplier wallMillis;

    /**
     * Creates an instance that has neither loaded nor saved anything.
     *
     * @param registry the crashes that this VM knows
     * @param store the key-value service
     * @param decides whether this VM decides about a fingerprint
     * @param timer the timer service
     * @param wallMillis the wall clock in milliseconds, which the age of saved crashes is counted by
     * @param log the decision log
     */
    public SavedPoisonRequests(
            final PoisonRequestRegistry registry,
            final KeyValueStore store,
            final Predicate<String> decides,
            final TimerService timer,
            final LongSupplier wallMillis,
            final DecisionLog log) {
        super(PREFIX, store, decides, timer, log);
        this.registry = Objects.requireNonNull(registry);
        this.wallMillis = Objects.requireNonNull(wallMillis);
    }

    @Override
    public String name() {
        return "saved-poison-requests";
    }

    @Override
    protected Map<String, ByteString> evidence() {
        final Map<Fingerprint, Set<CrashId>> poison = registry.poison();
        final Map<String, ByteString> evidence = new HashMap<>();
        poison.entrySet().stream()
                .skip(Math.max(0, poison.size() - MAX_SAVED))
                .forEach(each -> evidence.put(each.getKey().value(), encode(each.getKey(), each.getValue())));
        return evidence;
    }

    private ByteString encode(final Fingerprint fingerprint, final Set<CrashId> crashes) {
        final long lastCrash =
                wallMillis.getAsLong() - registry.sinceLastCrash(fingerprint).toMillis();
        return CrashMessages.saved(fingerprint, crashes, lastCrash).toByteString();
    }

    @Override
    protected Set<String> drainObserved() {
        return registry.drainObserved().stream().map(Fingerprint::value).collect(Collectors.toSet());
    }

    @Override
    protected boolean upToDate(final ByteString savedValue, final ByteString current)
            throws InvalidProtocolBufferException {
        return SavedRequest.parseFrom(savedValue)
                .getCrashesList()
                .containsAll(SavedRequest.parseFrom(current).getCrashesList());
    }

    @Override
    protected void load(final ByteString value) throws InvalidProtocolBufferException {
        final SavedRequest request = SavedRequest.parseFrom(value);
        final long millis = wallMillis.getAsLong() - request.getLastCrashUnixMillis();
        final Duration age = Duration.ofMillis(Math.max(0, Math.min(millis, MAX_LOADED_AGE.toMillis())));
        CrashMessages.crashes(request)
                .forEach(crash -> registry.record(new Fingerprint(request.getFingerprint()), crash, age));
    }

    @Override
    protected void forget(final String subject) {
        registry.forget(new Fingerprint(subject));
    }
}
