/** Compares paced prefills with prompts that are sent immediately, in virtual time. */
package org.balsambank.standin.experiment.reading;
