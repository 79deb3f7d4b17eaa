package org.balsambank.core.partition;

import org.balsambank.protocol.generated.ownership.MemberRecord;

/**
 * The entry of a member in the key-value service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param member the member
 * @param entry the record that the member has registered
 * @param revision the revision of its key
 */
record MemberEntry(Member member, MemberRecord entry, long revision) {}
