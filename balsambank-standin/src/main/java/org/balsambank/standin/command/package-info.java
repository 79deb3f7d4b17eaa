/** The commands that start stand-ins and run the load tool. */
package org.balsambank.standin.command;
