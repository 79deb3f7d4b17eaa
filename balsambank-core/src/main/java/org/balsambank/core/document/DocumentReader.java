package org.balsambank.core.document;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import org.balsambank.core.document.DocumentNode.Field;
import org.balsambank.core.document.DocumentNode.Kind;

/**
 * Parses JSON with comments into a tree of nodes with their positions.
 *
 * <p>Stateless and thread-safe. The JSON parser limits the nesting depth.
 */
public final class DocumentReader {
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .configure(JsonReadFeature.ALLOW_JAVA_COMMENTS, true)
            .build();

    private DocumentReader() {}

    /**
     * Parses a document.
     *
     * @param text the document text
     * @return the root value
     * @throws DocumentSyntaxException if the text is not exactly one JSON value
     */
    public static DocumentNode read(final String text) throws DocumentSyntaxException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() == null) {
                throw new DocumentSyntaxException("the document is empty", new Position(1, 1));
            }
            final DocumentNode node = parseValue(parser);
            if (parser.nextToken() != null) {
                throw new DocumentSyntaxException(
                        "unexpected text after the root value", Position.of(parser.currentTokenLocation()));
            }
            return node;
        } catch (JsonParseException e) {
            throw new DocumentSyntaxException(e.getOriginalMessage(), Position.of(e.getLocation()));
        } catch (IOException e) {
            throw new DocumentSyntaxException(e.getMessage(), new Position(1, 1));
        }
    }

    private static DocumentNode parseValue(final JsonParser parser) throws IOException {
        final Position position = Position.of(parser.currentTokenLocation());
        final JsonToken token = parser.currentToken();
        return switch (token) {
            case START_OBJECT -> new DocumentNode(Kind.OBJECT, "", position, parseFields(parser), List.of());
            case START_ARRAY -> new DocumentNode(Kind.LIST, "", position, List.of(), parseItems(parser));
            case VALUE_STRING -> parseScalar(Kind.STRING, parser, position);
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parseScalar(Kind.NUMBER, parser, position);
            case VALUE_TRUE, VALUE_FALSE -> parseScalar(Kind.BOOLEAN, parser, position);
            default -> parseScalar(Kind.NULL, parser, position);
        };
    }

    private static DocumentNode parseScalar(final Kind kind, final JsonParser parser, final Position position)
            throws IOException {
        return new DocumentNode(kind, parser.getText(), position, List.of(), List.of());
    }

    private static List<Field> parseFields(final JsonParser parser) throws IOException {
        final List<Field> fields = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            final String name = parser.currentName();
            final Position position = Position.of(parser.currentTokenLocation());
            parser.nextToken();
            fields.add(new Field(name, position, parseValue(parser)));
        }
        return fields;
    }

    private static List<DocumentNode> parseItems(final JsonParser parser) throws IOException {
        final List<DocumentNode> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(parseValue(parser));
        }
        return items;
    }
}
