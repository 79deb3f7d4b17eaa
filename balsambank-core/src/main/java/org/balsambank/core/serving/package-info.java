/** Serves requests whose configuration and targets the key-value service announces. */
package org.balsambank.core.serving;
