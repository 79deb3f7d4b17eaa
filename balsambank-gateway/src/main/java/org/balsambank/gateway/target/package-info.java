/** Connections to targets, and the HTTP client for small requests. */
package org.balsambank.gateway.target;
