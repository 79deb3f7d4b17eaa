/** The checks of catalogue files, one class per check. */
package org.balsambank.core.catalogue.check;
