/** Connections to targets and small calls. */
package org.balsambank.gateway.target;
