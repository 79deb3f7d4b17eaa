/** Shared classes of the stand-ins: an HTTP server with fault injection. */
package org.balsambank.standin.http;
