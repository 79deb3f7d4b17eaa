/** Calls to the platform's interface that one VM at a time makes: usage reports and the number of targets. */
package org.balsambank.core.serving.duty;
