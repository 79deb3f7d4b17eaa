/** Request processing on the entry VM and on the VM that owns the target. */
package org.balsambank.core.request;
