/** A tree of JSON values in which each node has its position in the document. */
package org.balsambank.core.document;
