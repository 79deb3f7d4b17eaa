package org.balsambank.core.document;

/**
 * Reports that a text is not a JSON document.
 *
 * <p>Immutable and thread-safe.
 */
public final class DocumentSyntaxException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Position position;

    /**
     * Creates an error.
     *
     * @param message what is wrong
     * @param place where the error was seen
     */
    public DocumentSyntaxException(final String message, final Position place) {
        super(message);
        this.position = place;
    }

    /**
     * Returns where the error was seen.
     *
     * @return the place
     */
    public Position position() {
        return position;
    }
}
