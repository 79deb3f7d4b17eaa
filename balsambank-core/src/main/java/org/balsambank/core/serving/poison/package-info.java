/** Finds requests, and parts of prompts, that crash the targets on which they run. */
package org.balsambank.core.serving.poison;
