package org.balsambank.standin.engine;

/** Receives the answer to one request. Called on the event loop of the engine. */
interface AnswerSink {
    /**
     * Receives the next token.
     *
     * @param text the text of the token
     */
    void token(String text);

    /** Completes the answer after its last token. */
    void complete();

    /** Aborts the answer before it is complete. */
    void abort();
}
