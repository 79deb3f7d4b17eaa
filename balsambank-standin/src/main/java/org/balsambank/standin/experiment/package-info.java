/** Experiments and benchmarks, each a command of its own. */
package org.balsambank.standin.experiment;
