/** The operators' command-line client. */
package org.balsambank.cli;
