/** A stand-in for a plain service that counts its executions. */
package org.balsambank.standin.service;
