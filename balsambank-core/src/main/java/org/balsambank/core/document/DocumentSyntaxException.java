package org.balsambank.core.document;

/**
 * Thrown when a text is not a valid JSON document.
 *
 * <p>Immutable and thread-safe.
 */
public final class DocumentSyntaxException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Position position;

    /**
     * Creates an exception.
     *
     * @param message what is wrong
     * @param position the position of the error
     */
    public DocumentSyntaxException(final String message, final Position position) {
        super(message);
        this.position = position;
    }

    /**
     * Returns the position of the error.
     *
     * @return the position
     */
    public Position position() {
        return position;
    }
}
