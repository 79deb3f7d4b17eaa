/** Exchange of serving state between VMs. */
package org.balsambank.core.serving.fleet;
