/** The steps of one request. */
package org.balsambank.core.serving.request;
