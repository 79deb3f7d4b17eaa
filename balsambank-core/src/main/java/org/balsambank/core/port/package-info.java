/** Interfaces (ports) through which the core accesses external systems. */
package org.balsambank.core.port;
