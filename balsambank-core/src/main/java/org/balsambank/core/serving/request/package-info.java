/** Handling of one request, from admission to the final response. */
package org.balsambank.core.serving.request;
