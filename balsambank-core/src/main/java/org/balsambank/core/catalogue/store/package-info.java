/** Storage of the catalogue in the key-value service and its distribution to the VMs. */
package org.balsambank.core.catalogue.store;
