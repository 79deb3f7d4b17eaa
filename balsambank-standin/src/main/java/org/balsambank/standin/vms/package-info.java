/** A stand-in for the VM list of the platform. */
package org.balsambank.standin.vms;
