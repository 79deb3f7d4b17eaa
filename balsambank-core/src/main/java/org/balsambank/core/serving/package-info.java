/** Serves requests; the configuration and the targets come from the key-value service. */
package org.balsambank.core.serving;
