/** The schema of catalogue files: the kinds of entries and their fields. */
package org.balsambank.core.catalogue.document;
