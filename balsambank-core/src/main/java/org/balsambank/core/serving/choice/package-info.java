/** Choice of the target for a request, based on the estimated time to the first chunk. */
package org.balsambank.core.serving.choice;
