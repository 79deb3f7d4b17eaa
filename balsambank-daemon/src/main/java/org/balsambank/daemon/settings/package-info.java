/** The settings of a VM. */
package org.balsambank.daemon.settings;
