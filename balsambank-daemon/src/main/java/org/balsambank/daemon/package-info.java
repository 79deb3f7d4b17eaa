/** The daemon that runs on every VM. */
package org.balsambank.daemon;
