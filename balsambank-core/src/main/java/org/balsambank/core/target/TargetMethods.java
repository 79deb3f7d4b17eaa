package org.balsambank.core.target;

import org.balsambank.core.port.PeerMethod;
import org.balsambank.protocol.generated.target.CrashListRequest;
import org.balsambank.protocol.generated.target.CrashNotice;
import org.balsambank.protocol.generated.target.CrashNoticeReceipt;
import org.balsambank.protocol.generated.target.CrashTrialGrant;
import org.balsambank.protocol.generated.target.CrashTrialRequest;
import org.balsambank.protocol.generated.target.LoadSlotGrant;
import org.balsambank.protocol.generated.target.LoadSlotRequest;

/** Peer methods for load slots and crashes of targets. Stateless and thread-safe. */
final class TargetMethods {
    /** Borrows a load slot from the VM that lends them. */
    static final PeerMethod<LoadSlotRequest, LoadSlotGrant> LOAD_SLOT =
            new PeerMethod<>(60, "load-slot", LoadSlotRequest.parser(), LoadSlotGrant.parser());
    /** Requests a trial of a suspect request from the owner of its partition. */
    static final PeerMethod<CrashTrialRequest, CrashTrialGrant> CRASH_TRIAL =
            new PeerMethod<>(61, "crash-trial", CrashTrialRequest.parser(), CrashTrialGrant.parser());
    /** Announces or retracts a crash. */
    static final PeerMethod<CrashNotice, CrashNoticeReceipt> CRASH_NOTICE =
            new PeerMethod<>(62, "crash-notice", CrashNotice.parser(), CrashNoticeReceipt.parser());
    /** Lists the crashes that a VM has recorded. */
    static final PeerMethod<CrashListRequest, CrashNotice> CRASH_LIST =
            new PeerMethod<>(63, "crash-list", CrashListRequest.parser(), CrashNotice.parser());

    private TargetMethods() {}
}
