/** Value types for ids. */
package org.balsambank.core.id;
