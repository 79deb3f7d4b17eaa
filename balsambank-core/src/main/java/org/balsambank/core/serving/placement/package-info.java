/** Which target holds which adapter, and the one VM that gives it orders. */
package org.balsambank.core.serving.placement;
