/** The catalogue, which is the configuration maintained by the operators. */
package org.balsambank.core.catalogue;
