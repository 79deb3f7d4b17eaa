package org.balsambank.core.target;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.Fingerprint;

/**
 * Lets each suspect run at most once at a time, as far as one VM decides.
 *
 * <p>Invariant: a fingerprint has at most one trial. Confined to the decision loop.
 */
public final class LocalCrashTrials implements CrashTrials {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final PoisonRequestRegistry register;
    private final Set<Fingerprint> running = new HashSet<>();

    /**
     * Creates trials of which none runs.
     *
     * @param register counts the losses
     */
    public LocalCrashTrials(final PoisonRequestRegistry register) {
        this.register = Objects.requireNonNull(register);
    }

    @Override
    public Single<CrashTrial> begin(final Fingerprint fingerprint, final Set<CrashId> crashes) {
        return Single.defer(() -> {
            crashes.forEach(crash -> register.record(fingerprint, crash));
            if (register.verdict(fingerprint) == PoisonRequestRegistry.Verdict.POISON) {
                return Single.error(
                        new BalsambankException(ErrorKind.POISON_REQUEST, "the request has cost two targets"));
            }
            if (!running.add(fingerprint)) {
                return Single.error(new BalsambankException(
                        ErrorKind.OVERLOADED, "the request has cost a target and runs already", RETRY_AFTER));
            }
            return Single.just(new Trial(fingerprint));
        });
    }

    @Override
    public void announce(final CrashId crash, final Set<Fingerprint> fingerprints) {
        // There is no other VM to tell.
    }

    /** A trial that runs. Confined to the decision loop. */
    private final class Trial implements CrashTrial {
        private final Fingerprint fingerprint;
        private boolean ended;

        Trial(final Fingerprint fingerprint) {
            this.fingerprint = fingerprint;
        }

        @Override
        public void end() {
            if (!ended) {
                ended = true;
                running.remove(fingerprint);
            }
        }
    }
}
