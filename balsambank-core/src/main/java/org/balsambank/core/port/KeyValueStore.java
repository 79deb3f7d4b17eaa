package org.balsambank.core.port;

import java.time.Duration;
import java.util.Optional;

import com.google.protobuf.ByteString;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.balsambank.core.id.LeaseId;

/**
 * The platform's key-value service. It is small, shared by the whole fleet and may be unavailable.
 *
 * <p>Each call ends within a timeout set by the implementation. Calls fail with {@link KeyValueException}; the reason
 * {@code UNKNOWN} means that a write may have taken effect. Results arrive on the decision loop of the VM.
 */
public interface KeyValueStore {
    /** The revision of a key that does not exist, in each era. */
    long ABSENT = 0;

    /**
     * Returns the newest era of the service that this VM knows. All revisions of this interface are composed as in
     * {@link StoreRevision}. A response of an earlier era fails the call with reason {@code UNKNOWN}; a lease of an
     * earlier era has ended; an expected revision of an earlier era fails as a conflict.
     *
     * @return the era; an implementation raises it before it returns the result of the call that named it
     */
    StoreEra era();

    /**
     * Reads one key.
     *
     * @param key the key to read
     * @return the entry, or empty if the key does not exist
     */
    Single<Optional<KeyValueEntry>> read(String key);

    /**
     * Reads all keys with a prefix.
     *
     * @param prefix the prefix of the keys to read
     * @return the entries and the store revision at which they were read
     */
    Single<KeyValueSnapshot> list(String prefix);

    /**
     * Replaces a value if the key has the expected revision.
     *
     * @param key the key to write
     * @param expectedRevision the revision last read by the caller, or {@link #ABSENT} to create the key
     * @param value the new value, at most one megabyte
     * @param lease the lease that the key is attached to, if any; the key is removed when the lease ends
     * @return the new revision of the key; fails with reason {@code CONFLICT} if the revision differs
     */
    Single<Long> compareAndSwap(String key, long expectedRevision, ByteString value, Optional<LeaseId> lease);

    /**
     * Deletes a key if it has the expected revision.
     *
     * @param key the key to delete
     * @param expectedRevision the revision last read by the caller
     * @return completes when the key is deleted; fails with reason {@code CONFLICT} if the revision differs
     */
    Completable delete(String key, long expectedRevision);

    /**
     * Grants a new lease. The holder measures its lifetime from before this call.
     *
     * @param timeToLive how long the lease lasts without renewal
     * @return the lease
     */
    Single<LeaseId> grantLease(Duration timeToLive);

    /**
     * Renews a lease for its time to live. The holder measures the lifetime from before this call.
     *
     * @param lease the lease to renew
     * @return completes when renewed; fails with reason {@code LEASE_ENDED} if it has ended
     */
    Completable renewLease(LeaseId lease);

    /**
     * Revokes a lease and deletes its keys.
     *
     * @param lease the lease to revoke
     * @return completes when the lease is revoked
     */
    Completable revokeLease(LeaseId lease);

    /**
     * Watches all keys with a prefix. The stream fails when the service fails; the subscriber must resubscribe.
     *
     * @param prefix the prefix of the keys to watch
     * @param afterRevision the store revision after which changes are emitted
     * @return the changes in revision order
     */
    Flowable<KeyValueChange> watch(String prefix, long afterRevision);
}
