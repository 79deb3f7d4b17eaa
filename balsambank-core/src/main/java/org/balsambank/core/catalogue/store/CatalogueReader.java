package org.balsambank.core.catalogue.store;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.Revision;
import org.balsambank.core.port.KeyValueEntry;
import org.balsambank.core.port.KeyValueStore;
import org.balsambank.protocol.generated.catalogue.CatalogueHead;
import org.balsambank.protocol.generated.catalogue.CatalogueIndex;

/**
 * Reads the catalogue from the key-value service.
 *
 * <p>Confined to the decision loop. Contents are verified against their hashes. Chunks that are already known are not
 * read again.
 */
public final class CatalogueReader {
    /** The key of the catalogue head. */
    static final String HEAD_KEY = "catalogue/head";
    /** The key prefix of the contents. */
    static final String CONTENT_PREFIX = "catalogue/content/";

    private static final int MAX_SINGLE_READS = 16;

    private final KeyValueStore store;

    /**
     * Creates a reader.
     *
     * @param store the key-value service
     */
    public CatalogueReader(final KeyValueStore store) {
        this.store = Objects.requireNonNull(store);
    }

    /**
     * Returns the key of a content.
     *
     * @param hash the hash of the content
     * @return the key in the key-value service
     */
    static String contentKey(final ContentHash hash) {
        return CONTENT_PREFIX + hash;
    }

    /**
     * Reads the catalogue.
     *
     * @param known a snapshot whose chunks need not be read
     * @return the catalogue; fails with {@link CorruptCatalogueException} if a content is missing, which also happens
     *     when an operator applies another catalogue concurrently
     */
    Single<StoredCatalogue> read(final Snapshot known) {
        return store.read(HEAD_KEY).flatMap(entry -> {
            if (entry.isEmpty()) {
                return Single.just(new StoredCatalogue(CatalogueHead.getDefaultInstance(), 0, Snapshot.EMPTY));
            }
            return readSnapshot(entry.get(), known);
        });
    }

    /**
     * Reads the snapshot referenced by a head.
     *
     * @param headEntry the stored head
     * @param known a snapshot whose chunks need not be read
     * @return the catalogue
     */
    Single<StoredCatalogue> readSnapshot(final KeyValueEntry headEntry, final Snapshot known) {
        return Single.defer(() -> {
            final CatalogueHead head = parseHead(headEntry.value());
            final ContentHash index = new ContentHash(head.getIndex());
            return readContent(index)
                    .flatMap(content -> readChunks(index(content), known))
                    .map(chunks -> new StoredCatalogue(
                            head, headEntry.revision(), Snapshot.assemble(new Revision(head.getRevision()), chunks)));
        });
    }

    /**
     * Parses a head.
     *
     * @param content the bytes
     * @return the head
     * @throws CorruptCatalogueException if the bytes are not a valid head
     */
    static CatalogueHead parseHead(final ByteString content) throws CorruptCatalogueException {
        try {
            return CatalogueHead.parseFrom(content);
        } catch (InvalidProtocolBufferException e) {
            throw new CorruptCatalogueException("malformed catalogue head: " + e.getMessage());
        }
    }

    private static List<ContentHash> index(final ByteString content) throws CorruptCatalogueException {
        try {
            return CatalogueIndex.parseFrom(content).getChunksList().stream()
                    .map(ContentHash::new)
                    .toList();
        } catch (InvalidProtocolBufferException e) {
            throw new CorruptCatalogueException("malformed catalogue index: " + e.getMessage());
        }
    }

    private Single<ByteString> readContent(final ContentHash hash) {
        return store.read(contentKey(hash)).map(entry -> verified(entry.map(KeyValueEntry::value), hash));
    }

    private static ByteString verified(final Optional<ByteString> content, final ContentHash hash)
            throws CorruptCatalogueException {
        if (content.isEmpty() || !ContentHash.of(content.get()).equals(hash)) {
            throw new CorruptCatalogueException("content " + hash + " is missing or corrupt");
        }
        return content.get();
    }

    private Single<List<Chunk>> readChunks(final List<ContentHash> hashes, final Snapshot known) {
        final Map<ContentHash, Chunk> chunks = known.chunks().stream()
                .collect(Collectors.toMap(Chunk::hash, Function.identity(), (first, second) -> first, HashMap::new));
        final Set<ContentHash> missing = new HashSet<>(hashes);
        missing.removeAll(chunks.keySet());
        return contents(missing).map(contents -> {
            for (final ContentHash hash : missing) {
                chunks.put(hash, Chunk.parse(verified(Optional.ofNullable(contents.get(hash)), hash)));
            }
            return hashes.stream().map(chunks::get).toList();
        });
    }

    private Single<Map<ContentHash, ByteString>> contents(final Set<ContentHash> hashes) {
        if (hashes.size() > MAX_SINGLE_READS) {
            return store.list(CONTENT_PREFIX).map(snapshot -> snapshot.entries().stream()
                    .map(KeyValueEntry::value)
                    .collect(Collectors.toMap(ContentHash::of, Function.identity(), (a, b) -> a)));
        }
        return Flowable.fromIterable(hashes)
                .concatMapSingle(hash -> readContent(hash).map(content -> Map.entry(hash, content)))
                .toMap(Map.Entry::getKey, Map.Entry::getValue);
    }
}
