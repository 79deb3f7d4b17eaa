package org.balsambank.standin.engine;

import net.openhft.hashing.LongHashFunction;

/**
 * Generates the answer of an engine as a deterministic function of the adapter and the prompt.
 *
 * <p>The first token is the name of the adapter and version in brackets, so that a caller can check which one ran.
 * Stateless and thread-safe.
 */
public final class AnswerText {
    private static final LongHashFunction HASH = LongHashFunction.xx3();
    private static final int CHARS_PER_TOKEN = 4;

    private AnswerText() {}

    /**
     * Returns one token of an answer.
     *
     * @param adapter the adapter and version that ran
     * @param prompt the prompt
     * @param index the position of the token in the answer, from 0
     * @return the text of the token
     */
    public static String token(final String adapter, final String prompt, final int index) {
        if (index == 0) {
            return "[" + adapter + "]";
        }
        final long hash = HASH.hashLong(HASH.hashChars(adapter) ^ (HASH.hashChars(prompt) * 31 + index));
        return " " + Long.toString(hash >>> 44, 36);
    }

    /**
     * Returns a complete answer.
     *
     * @param adapter the adapter and version that ran
     * @param prompt the prompt
     * @param tokens the number of tokens
     * @return the text
     */
    public static String answer(final String adapter, final String prompt, final int tokens) {
        final StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(token(adapter, prompt, i));
        }
        return text.toString();
    }

    /**
     * Estimates the number of tokens of a prompt from its length.
     *
     * @param prompt the prompt
     * @return at least 1
     */
    public static int tokensOf(final String prompt) {
        return Math.max(1, prompt.length() / CHARS_PER_TOKEN);
    }
}
