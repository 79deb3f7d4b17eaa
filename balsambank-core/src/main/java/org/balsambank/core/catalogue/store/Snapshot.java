package org.balsambank.core.catalogue.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import net.openhft.hashing.LongHashFunction;
import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.id.Revision;
import org.balsambank.protocol.generated.catalogue.CatalogueEntry;
import org.balsambank.protocol.generated.catalogue.CatalogueIndex;

/**
 * One revision of the catalogue as content-addressed chunks.
 *
 * <p>Immutable and thread-safe. Invariant: the hash of a key determines the bucket of its entry, so that a change of
 * one entry changes one chunk. The number of buckets is a power of two.
 */
public final class Snapshot {
    /** The snapshot of the empty catalogue. */
    public static final Snapshot EMPTY = new Snapshot(Catalogue.EMPTY, List.of(Chunk.of(List.of())));

    private static final int CHUNK_BYTES = 8 * 1024;
    private static final int MAX_BUCKETS = 1 << 14;

    private final Catalogue catalogue;
    private final List<Chunk> chunks;
    private final ByteString index;
    private final ContentHash indexHash;

    private Snapshot(final Catalogue catalogue, final List<Chunk> chunks) {
        this.catalogue = catalogue;
        this.chunks = List.copyOf(chunks);
        this.index = CatalogueIndex.newBuilder()
                .addAllChunks(chunks.stream().map(chunk -> chunk.hash().bytes()).toList())
                .build()
                .toByteString();
        this.indexHash = ContentHash.of(index);
    }

    /**
     * Creates a snapshot of entries.
     *
     * @param revision the revision
     * @param entries the entries
     * @param before the previous snapshot, which determines the number of buckets unless the size changed a lot
     * @return the snapshot
     */
    static Snapshot of(
            final Revision revision, final SortedMap<EntryKey, CatalogueEntry> entries, final Snapshot before) {
        final int buckets = bucketCount(entries.values(), before.chunks.size());
        final List<List<CatalogueEntry>> byBucket = new ArrayList<>();
        for (int i = 0; i < buckets; i++) {
            byBucket.add(new ArrayList<>());
        }
        entries.forEach((key, entry) -> byBucket.get(bucketOf(key, buckets)).add(entry));
        return assemble(revision, byBucket.stream().map(Chunk::of).toList());
    }

    /**
     * Assembles a snapshot from chunks.
     *
     * @param revision the revision
     * @param chunks the chunks, in bucket order
     * @return the snapshot
     */
    static Snapshot assemble(final Revision revision, final List<Chunk> chunks) {
        final List<Object> values = new ArrayList<>();
        chunks.forEach(chunk -> values.addAll(chunk.values()));
        return new Snapshot(EntryDecoder.assemble(revision, values), chunks);
    }

    private static int bucketCount(final Collection<CatalogueEntry> entries, final int before) {
        final long bytes =
                entries.stream().mapToLong(CatalogueEntry::getSerializedSize).sum();
        final long desired = Math.max(1, Math.min(MAX_BUCKETS, bytes / CHUNK_BYTES));
        final boolean fits = desired * 4 >= before && desired <= before * 2L;
        return fits ? before : Integer.highestOneBit((int) desired);
    }

    private static int bucketOf(final EntryKey key, final int buckets) {
        return (int) (LongHashFunction.xx3().hashChars(key.value()) & (buckets - 1));
    }

    /**
     * Returns the revision.
     *
     * @return the revision
     */
    public Revision revision() {
        return catalogue.revision();
    }

    /**
     * Returns the catalogue.
     *
     * @return the catalogue
     */
    public Catalogue catalogue() {
        return catalogue;
    }

    /**
     * Returns the chunks.
     *
     * @return the chunks, in bucket order
     */
    List<Chunk> chunks() {
        return chunks;
    }

    /**
     * Returns the encoded list of chunk hashes.
     *
     * @return the content of the index
     */
    ByteString index() {
        return index;
    }

    /**
     * Returns the hash of the index.
     *
     * @return the hash
     */
    ContentHash indexHash() {
        return indexHash;
    }

    /**
     * Returns the entries.
     *
     * @return the entries by key
     */
    SortedMap<EntryKey, CatalogueEntry> entries() {
        final SortedMap<EntryKey, CatalogueEntry> entries = new TreeMap<>();
        chunks.forEach(chunk -> chunk.entries().forEach(entry -> entries.put(EntryKey.of(entry), entry)));
        return entries;
    }

    /**
     * Returns the total size of all chunks.
     *
     * @return the size in bytes
     */
    public long contentBytes() {
        return chunks.stream().mapToLong(chunk -> chunk.content().size()).sum();
    }

    /**
     * Returns the number of chunks.
     *
     * @return the number
     */
    public int chunkCount() {
        return chunks.size();
    }
}
