/** Limits that all VMs share: rates of teams and of cold targets. */
package org.balsambank.core.serving.admission;
