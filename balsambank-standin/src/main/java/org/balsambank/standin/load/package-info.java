/** The load tool: scheduled arrivals, response checks, reference rate limits and reports. */
package org.balsambank.standin.load;
