/** Idempotency records, which let a call with an idempotency key run at most once. */
package org.balsambank.core.idempotency;
