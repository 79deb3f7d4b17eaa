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

/**
 * Turns losses into messages and back.
 *
 * <p>Stateless and thread-safe.
 */
final class CrashMessages {
    private CrashMessages() {}

    /**
     * Makes a notice of a loss.
     *
     * @param crash the loss
     * @param fingerprints what ran then
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
     * Makes a request for a trial.
     *
     * @param fingerprint what would run
     * @param crashes its losses
     * @return the message
     */
    static CrashTrialRequest trial(final Fingerprint fingerprint, final Set<CrashId> crashes) {
        return CrashTrialRequest.newBuilder()
                .setFingerprint(fingerprint.value())
                .addAllCrashes(crashes.stream().map(CrashMessages::message).toList())
                .build();
    }

    /**
     * Reads the losses of a request for a trial.
     *
     * @param request the message
     * @return the losses
     */
    static Set<CrashId> crashes(final CrashTrialRequest request) {
        return request.getCrashesList().stream().map(CrashMessages::crash).collect(Collectors.toSet());
    }

    /**
     * Takes over a notice.
     *
     * @param notice the message
     * @param register counts the losses
     */
    static void apply(final CrashNotice notice, final PoisonRequestRegistry register) {
        final CrashId crash = crash(notice.getCrash());
        if (notice.getFingerprintsCount() == 0) {
            register.retract(crash);
        }
        notice.getFingerprintsList().forEach(print -> register.record(new Fingerprint(print), crash));
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
