/** The decision loop on one Netty event loop. */
package org.balsambank.gateway.loop;
