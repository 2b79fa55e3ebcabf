/** Rendezvous hashing. */
package org.masticcroft.kernel.hash;
