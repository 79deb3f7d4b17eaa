/** Traces of requests. */
package org.balsambank.daemon.trace;
