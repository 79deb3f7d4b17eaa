/** Residency of adapters at targets, and control of each target by exactly one VM. */
package org.balsambank.core.serving.placement;
