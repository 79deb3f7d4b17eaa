package org.balsambank.core.request;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import org.balsambank.core.error.BalsambankException;
import org.balsambank.core.error.ErrorKind;
import org.balsambank.core.id.AdapterRef;

/**
 * Parses and modifies the JSON body of a completion request.
 *
 * <p>Confined to the decision loop. The bytes that were parsed are not modified.
 */
final class CompletionBody {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String MODEL = "model";
    private static final String RESUME_FROM = "resume_from";
    private static final String TEMPERATURE = "temperature";

    private final ObjectNode tree;

    private CompletionBody(final ObjectNode tree) {
        this.tree = tree;
    }

    /**
     * Parses a body.
     *
     * @param body the bytes
     * @return the parsed body
     * @throws BalsambankException of kind {@code MALFORMED_REQUEST} if it is not a JSON object
     */
    static CompletionBody parse(final ByteString body) throws BalsambankException {
        try {
            if (JSON.readTree(body.newInput()) instanceof ObjectNode object) {
                return new CompletionBody(object);
            }
        } catch (final IOException e) {
            throw new BalsambankException(ErrorKind.MALFORMED_REQUEST, "the body is not valid JSON");
        }
        throw new BalsambankException(ErrorKind.MALFORMED_REQUEST, "the body is not a JSON object");
    }

    /**
     * Sets the adapter version that the target runs.
     *
     * @param adapter the adapter version
     * @return this body
     */
    CompletionBody model(final AdapterRef adapter) {
        tree.put(MODEL, adapter.toString());
        return this;
    }

    /**
     * Makes the target omit the tokens that the caller has already received.
     *
     * @param tokens the number of tokens to omit from the start of the completion
     * @return this body
     */
    CompletionBody resumeFrom(final long tokens) {
        tree.put(RESUME_FROM, tokens);
        return this;
    }

    /**
     * Returns whether every run produces the same tokens.
     *
     * @return true if the temperature is 0
     */
    boolean deterministic() {
        final JsonNode temperature = tree.get(TEMPERATURE);
        return temperature != null && temperature.isNumber() && temperature.doubleValue() == 0;
    }

    /**
     * Serializes the body.
     *
     * @return the bytes
     * @throws BalsambankException of kind {@code INTERNAL} if serialization fails
     */
    ByteString bytes() throws BalsambankException {
        try {
            return ByteString.copyFrom(JSON.writeValueAsBytes(tree));
        } catch (final JsonProcessingException e) {
            throw new BalsambankException(ErrorKind.INTERNAL, "the body cannot be written");
        }
    }
}
