/** The HTTP client of the targets: requests, reports and orders. */
package org.balsambank.daemon.target;
