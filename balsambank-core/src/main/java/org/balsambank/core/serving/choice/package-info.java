/** Where a request goes, by an estimate of its first piece. */
package org.balsambank.core.serving.choice;
