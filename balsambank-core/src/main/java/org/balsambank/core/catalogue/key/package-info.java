/** Hashing and lookup of API keys. */
package org.balsambank.core.catalogue.key;
