package org.balsambank.core.catalogue.key;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.balsambank.core.catalogue.Catalogue;
import org.balsambank.core.catalogue.KeyHash;
import org.balsambank.core.catalogue.Team;

/**
 * An index that finds the team of an API key.
 *
 * <p>Immutable and thread-safe. Keys that share a salt are indexed by a prefix of their hash, so that a lookup costs
 * one hash computation per distinct salt, whatever the number of keys. A lookup tries all salts and compares full
 * hashes in constant time, so that its duration reveals nothing about the stored keys.
 */
public final class KeyIndex {
    private static final int MAX_KEY_CHARACTERS = 512;

    private final List<SaltIndex> indexes;

    private KeyIndex(final List<SaltIndex> indexes) {
        this.indexes = indexes;
    }

    /**
     * Creates an index of the keys of a catalogue.
     *
     * @param catalogue the catalogue
     * @return the index
     */
    public static KeyIndex of(final Catalogue catalogue) {
        return of(catalogue.teams().values());
    }

    private static KeyIndex of(final Collection<Team> teams) {
        final Map<String, Map<Long, List<Entry>>> bySalt = new HashMap<>();
        for (final Team team : teams) {
            for (final KeyHash key : team.keys()) {
                final byte[] hash = HexFormat.of().parseHex(key.hash());
                final Entry entry = new Entry(hash, new KeyMatch(team.id(), key.id()));
                bySalt.computeIfAbsent(key.salt(), salt -> new HashMap<>())
                        .merge(prefix(hash), List.of(entry), KeyIndex::concat);
            }
        }
        return new KeyIndex(bySalt.entrySet().stream()
                .map(entry -> new SaltIndex(HexFormat.of().parseHex(entry.getKey()), entry.getValue()))
                .toList());
    }

    /**
     * Finds the team of a key.
     *
     * @param key the key as received with a request
     * @return the team and the id of the key, or empty if the key is unknown or withdrawn
     */
    public Optional<KeyMatch> find(final String key) {
        if (key.length() > MAX_KEY_CHARACTERS) {
            return Optional.empty();
        }
        KeyMatch found = null;
        for (final SaltIndex index : indexes) {
            final KeyMatch match = index.find(key);
            found = match == null ? found : match;
        }
        return Optional.ofNullable(found);
    }

    private static List<Entry> concat(final List<Entry> first, final List<Entry> second) {
        return Stream.concat(first.stream(), second.stream()).toList();
    }

    private static long prefix(final byte[] hash) {
        return ByteBuffer.wrap(hash).getLong();
    }

    /** The hash of a key and its owner. Immutable and thread-safe. */
    private record Entry(byte[] hash, KeyMatch match) {}

    /** The keys with one salt, by the prefix of their hash. Immutable and thread-safe. */
    private record SaltIndex(byte[] salt, Map<Long, List<Entry>> entries) {
        private KeyMatch find(final String key) {
            final byte[] hash = KeyHasher.hash(salt, key);
            KeyMatch found = null;
            for (final Entry entry : entries.getOrDefault(prefix(hash), List.of())) {
                if (MessageDigest.isEqual(entry.hash(), hash)) {
                    found = entry.match();
                }
            }
            return found;
        }
    }
}
