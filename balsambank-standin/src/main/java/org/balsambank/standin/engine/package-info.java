/** A stand-in for a model engine with dynamic adapters. */
package org.balsambank.standin.engine;
