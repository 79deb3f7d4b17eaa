/** The log of decisions on standard output. */
package org.balsambank.gateway.log;
