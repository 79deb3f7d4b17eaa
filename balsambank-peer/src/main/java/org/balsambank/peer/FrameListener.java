package org.balsambank.peer;

import org.balsambank.protocol.generated.peer.PeerFrame;

/** Receives the events of one connection. Called on the decision loop. */
interface FrameListener {
    /**
     * Handles a received frame.
     *
     * @param frame the frame
     */
    void onFrame(PeerFrame frame);

    /** Handles the end of the connection; no frame follows. */
    void onClosed();
}
