/** Ownership of partitions: which VM decides for a team, target or idempotency key. */
package org.balsambank.core.partition;
