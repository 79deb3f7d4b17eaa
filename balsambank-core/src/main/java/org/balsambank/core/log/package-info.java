/** The decision log. */
package org.balsambank.core.log;
