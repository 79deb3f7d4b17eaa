package org.balsambank.core.catalogue.store;

import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.balsambank.protocol.generated.catalogue.CatalogueChunk;
import org.balsambank.protocol.generated.catalogue.CatalogueEntry;

/**
 * The entries of one bucket, in encoded and decoded form.
 *
 * <p>Immutable and thread-safe. Invariant: the hash is the hash of the content.
 *
 * @param hash the content hash, which is the storage address
 * @param content the encoded entries
 * @param values the decoded entries
 */
record Chunk(ContentHash hash, ByteString content, List<Object> values) {
    /**
     * Encodes entries as a chunk.
     *
     * @param entries the entries, ordered by key
     * @return the chunk
     */
    static Chunk of(final List<CatalogueEntry> entries) {
        final ByteString content =
                CatalogueChunk.newBuilder().addAllEntries(entries).build().toByteString();
        return new Chunk(ContentHash.of(content), content, decode(entries));
    }

    /**
     * Decodes a chunk.
     *
     * @param content the encoded entries
     * @return the chunk
     * @throws CorruptCatalogueException if the bytes are not a valid chunk
     */
    static Chunk parse(final ByteString content) throws CorruptCatalogueException {
        try {
            return new Chunk(
                    ContentHash.of(content),
                    content,
                    decode(CatalogueChunk.parseFrom(content).getEntriesList()));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new CorruptCatalogueException("malformed chunk: " + e.getMessage());
        }
    }

    /**
     * Returns the entries.
     *
     * @return the entries, ordered by key
     */
    List<CatalogueEntry> entries() {
        try {
            return CatalogueChunk.parseFrom(content).getEntriesList();
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("the content was already decoded successfully", e);
        }
    }

    private static List<Object> decode(final List<CatalogueEntry> entries) {
        return entries.stream().map(EntryDecoder::decode).toList();
    }
}
