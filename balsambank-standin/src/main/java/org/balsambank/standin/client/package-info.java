/** A client that sends calls to VMs as their callers do and reads the responses. */
package org.balsambank.standin.client;
