/** Supervision of long-running components, which are restarted after failures. */
package org.balsambank.core.supervise;
