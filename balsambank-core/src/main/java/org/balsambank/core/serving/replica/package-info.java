/** The replica of the key-value service that each VM keeps and forwards to others. */
package org.balsambank.core.serving.replica;
