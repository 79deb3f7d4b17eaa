/** Stand-ins for the systems around balsambank, and tools that put load on it. */
package org.balsambank.standin;
