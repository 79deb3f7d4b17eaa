package org.balsambank.core.target;

import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;

import org.balsambank.core.id.BootId;
import org.balsambank.core.id.Fingerprint;
import org.balsambank.core.id.TargetId;
import org.balsambank.protocol.generated.target.Crash;
import org.balsambank.protocol.generated.target.CrashNotice;
import org.balsambank.protocol.generated.target.CrashTrialRequest;
import org.balsambank.protocol.generated.target.SavedRequest;

/**
 * Converts crashes to and from protocol messages.
 *
 * <p>Stateless and thread-safe.
 */
final class CrashMessages {
    private CrashMessages() {}

    /**
     * Creates a notice of a crash.
     *
     * @param crash the crash to announce or retract
     * @param fingerprints the requests that ran during the crash; empty retracts the crash
     * @return the message
     */
    static CrashNotice notice(final CrashId crash, final Collection<Fingerprint> fingerprints) {
        return CrashNotice.newBuilder()
                .setCrash(message(crash))
                .addAllFingerprints(
                        fingerprints.stream().map(Fingerprint::value).toList())
                .build();
    }

    /**
     * Creates a request for a trial.
     *
     * @param fingerprint the suspect request
     * @param crashes the known crashes during that request
     * @return the message
     */
    static CrashTrialRequest trial(final Fingerprint fingerprint, final Set<CrashId> crashes) {
        return CrashTrialRequest.newBuilder()
                .setFingerprint(fingerprint.value())
                .addAllCrashes(crashes.stream().map(CrashMessages::message).toList())
                .build();
    }

    /**
     * Returns the crashes listed in a request for a trial.
     *
     * @param request the message
     * @return the crashes
     */
    static Set<CrashId> crashes(final CrashTrialRequest request) {
        return request.getCrashesList().stream().map(CrashMessages::crash).collect(Collectors.toSet());
    }

    /**
     * Creates the value under which a request that must not run again is saved.
     *
     * @param fingerprint the request
     * @param crashes its crashes
     * @param lastCrashMillis when the last of them was recorded, in milliseconds since 1970
     * @return the message
     */
    static SavedRequest saved(final Fingerprint fingerprint, final Set<CrashId> crashes, final long lastCrashMillis) {
        return SavedRequest.newBuilder()
                .setFingerprint(fingerprint.value())
                .addAllCrashes(crashes.stream().map(CrashMessages::message).toList())
                .setLastCrashUnixMillis(lastCrashMillis)
                .build();
    }

    /**
     * Returns the crashes of a saved request.
     *
     * @param request the message
     * @return the crashes
     */
    static Set<CrashId> crashes(final SavedRequest request) {
        return request.getCrashesList().stream().map(CrashMessages::crash).collect(Collectors.toSet());
    }

    /**
     * Applies a notice: records the crash for each fingerprint, or retracts it if the notice has none.
     *
     * @param notice the message
     * @param registry the registry to update
     */
    static void apply(final CrashNotice notice, final PoisonRequestRegistry registry) {
        final CrashId crash = crash(notice.getCrash());
        if (notice.getFingerprintsCount() == 0) {
            registry.retract(crash);
        }
        notice.getFingerprintsList().forEach(value -> registry.record(new Fingerprint(value), crash));
    }

    private static CrashId crash(final Crash message) {
        return new CrashId(new TargetId(message.getTarget()), new BootId(message.getBootId()));
    }

    private static Crash message(final CrashId crash) {
        return Crash.newBuilder()
                .setTarget(crash.target().value())
                .setBootId(crash.boot().value())
                .build();
    }
}
