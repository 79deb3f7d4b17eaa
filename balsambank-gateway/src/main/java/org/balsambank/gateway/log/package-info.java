/** The decision log, as JSON lines on standard output. */
package org.balsambank.gateway.log;
