package org.balsambank.core.partition;

import org.balsambank.protocol.generated.ownership.MemberRecord;

/**
 * The registration of a member in the key-value service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param member the registered process
 * @param record the value of the member's key
 * @param revision the revision at which the member's key was last written
 */
record MemberEntry(Member member, MemberRecord record, long revision) {}
