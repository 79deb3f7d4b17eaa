/** The HTTP servers for callers and operators. */
package org.balsambank.daemon.http;
