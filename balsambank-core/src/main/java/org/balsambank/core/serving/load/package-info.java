/** The load that targets report of themselves in the heads of their responses. */
package org.balsambank.core.serving.load;
