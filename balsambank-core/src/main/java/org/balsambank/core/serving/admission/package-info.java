/** Limits that the whole fleet shares: rates, retries, targets that start, requests that crash targets. */
package org.balsambank.core.serving.admission;
