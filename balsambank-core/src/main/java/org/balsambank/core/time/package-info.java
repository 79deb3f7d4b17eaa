/** Monotonic time and timers. */
package org.balsambank.core.time;
