/** Errors reported to callers. */
package org.balsambank.core.error;
