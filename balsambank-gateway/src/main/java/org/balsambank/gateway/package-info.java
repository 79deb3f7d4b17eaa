/** Passes requests from callers to targets and answers back, byte for byte. */
package org.balsambank.gateway;
