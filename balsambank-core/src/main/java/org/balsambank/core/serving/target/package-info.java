/** What a VM believes of targets, and how old that is. */
package org.balsambank.core.serving.target;
