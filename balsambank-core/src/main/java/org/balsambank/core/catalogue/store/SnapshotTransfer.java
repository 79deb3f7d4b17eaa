package org.balsambank.core.catalogue.store;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

import org.balsambank.core.id.Revision;
import org.balsambank.protocol.generated.catalogue.CataloguePart;
import org.balsambank.protocol.generated.catalogue.ChunkContent;

/**
 * Splits a snapshot into parts for another VM and assembles received parts.
 *
 * <p>Stateless and thread-safe. A received snapshot is verified against the hash of its index.
 */
final class SnapshotTransfer {
    private static final int PART_BYTES = 128 * 1024;

    private SnapshotTransfer() {}

    /**
     * Splits the snapshot in force into parts.
     *
     * @param replica the catalogue of this VM
     * @param base the revision of the other VM
     * @return the parts with the chunks that the other VM lacks, or with all chunks if the difference is unknown
     */
    static List<CataloguePart> parts(final CatalogueReplica replica, final Revision base) {
        final Snapshot snapshot = replica.snapshot();
        final Optional<List<ContentHash>> baseHashes =
                replica.chunksAt(base).filter(hashes -> hashes.size() == snapshot.chunkCount());
        final List<CataloguePart> parts = new ArrayList<>();
        CataloguePart.Builder part = header(snapshot, baseHashes.isPresent() ? base.value() : 0);
        int bytes = 0;
        for (int bucket = 0; bucket < snapshot.chunkCount(); bucket++) {
            final Chunk chunk = snapshot.chunks().get(bucket);
            if (baseHashes.isPresent() && baseHashes.get().get(bucket).equals(chunk.hash())) {
                continue;
            }
            if (bytes > 0 && bytes + chunk.content().size() > PART_BYTES) {
                parts.add(part.build());
                part = header(snapshot, baseHashes.isPresent() ? base.value() : 0);
                bytes = 0;
            }
            part.addChunks(ChunkContent.newBuilder().setBucket(bucket).setContent(chunk.content()));
            bytes += chunk.content().size();
        }
        parts.add(part.build());
        return parts;
    }

    private static CataloguePart.Builder header(final Snapshot snapshot, final long base) {
        return CataloguePart.newBuilder()
                .setBaseRevision(base)
                .setRevision(snapshot.revision().value())
                .setIndex(snapshot.indexHash().bytes())
                .setChunkCount(snapshot.chunkCount());
    }

    /**
     * Assembles a snapshot from the parts of one response.
     *
     * @param own the snapshot in force on this VM
     * @param parts the parts
     * @return the snapshot
     * @throws CorruptCatalogueException if a chunk is missing, the base does not match, or the snapshot is corrupt
     */
    static Snapshot assemble(final Snapshot own, final List<CataloguePart> parts) throws CorruptCatalogueException {
        if (parts.isEmpty()) {
            throw new CorruptCatalogueException("the response has no parts");
        }
        final CataloguePart first = parts.get(0);
        final boolean onBase = first.getBaseRevision() != 0;
        if (onBase && first.getBaseRevision() != own.revision().value()) {
            throw new CorruptCatalogueException(
                    "the response is based on a different revision: " + first.getBaseRevision());
        }
        final List<Chunk> chunks =
                new ArrayList<>(onBase ? own.chunks() : Collections.nCopies(first.getChunkCount(), null));
        for (final CataloguePart part : parts) {
            for (final ChunkContent content : part.getChunksList()) {
                chunks.set(content.getBucket(), Chunk.parse(content.getContent()));
            }
        }
        if (chunks.contains(null) || chunks.isEmpty()) {
            throw new CorruptCatalogueException("the response lacks a chunk");
        }
        final Snapshot snapshot = Snapshot.assemble(new Revision(first.getRevision()), chunks);
        if (!snapshot.indexHash().bytes().equals(first.getIndex())) {
            throw new CorruptCatalogueException("the response does not match the hash of its index");
        }
        return snapshot;
    }
}
