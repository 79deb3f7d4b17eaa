/** A stand-in for the key-value service of the platform. */
package org.balsambank.standin.kv;
