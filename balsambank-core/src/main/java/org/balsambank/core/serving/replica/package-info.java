/** The copy of the key-value service that each VM keeps and passes on. */
package org.balsambank.core.serving.replica;
