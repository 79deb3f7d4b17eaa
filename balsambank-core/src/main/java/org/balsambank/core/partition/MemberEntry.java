package org.balsambank.core.partition;

import org.balsambank.protocol.generated.ownership.MemberRecord;

/**
 * A member as the key-value service lists it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param member the member
 * @param entry what it says of itself
 * @param revision the revision of its key
 */
record MemberEntry(Member member, MemberRecord entry, long revision) {}
