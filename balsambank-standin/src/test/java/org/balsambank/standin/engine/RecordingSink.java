package org.balsambank.standin.engine;

/** Records the answer of an engine. Confined to one thread. */
final class RecordingSink implements AnswerSink {
    final StringBuilder text = new StringBuilder();
    boolean completed;
    boolean aborted;

    @Override
    public void token(final String token) {
        text.append(token);
    }

    @Override
    public void complete() {
        completed = true;
    }

    @Override
    public void abort() {
        aborted = true;
    }
}
