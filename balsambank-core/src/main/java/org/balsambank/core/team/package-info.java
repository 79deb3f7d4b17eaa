/** Enforcement of the rate and burst of teams across all VMs. */
package org.balsambank.core.team;
