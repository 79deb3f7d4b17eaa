/** Forwards requests of callers to targets and the responses back, with unchanged bodies. */
package org.balsambank.gateway;
