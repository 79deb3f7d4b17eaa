/** Admission to targets, adapter residency on engines, and target selection. */
package org.balsambank.core.target;
