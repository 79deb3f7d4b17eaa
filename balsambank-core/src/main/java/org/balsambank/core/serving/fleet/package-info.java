/** What VMs tell each other while they serve. */
package org.balsambank.core.serving.fleet;
