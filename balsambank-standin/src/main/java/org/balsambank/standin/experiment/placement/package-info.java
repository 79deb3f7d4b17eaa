/** Compares placement policies in virtual time. */
package org.balsambank.standin.experiment.placement;
