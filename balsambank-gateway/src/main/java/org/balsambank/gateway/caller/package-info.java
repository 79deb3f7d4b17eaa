/** Connections of callers. */
package org.balsambank.gateway.caller;
