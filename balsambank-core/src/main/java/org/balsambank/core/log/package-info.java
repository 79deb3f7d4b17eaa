/** The log of decisions. */
package org.balsambank.core.log;
