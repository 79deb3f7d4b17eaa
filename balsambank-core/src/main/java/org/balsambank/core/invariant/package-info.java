/** Runtime checks of invariants. */
package org.balsambank.core.invariant;
