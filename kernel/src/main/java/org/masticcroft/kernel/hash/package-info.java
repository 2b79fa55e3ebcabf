/** Hashing: {@link org.masticcroft.kernel.hash.RendezvousHash} assigns keys to members. */
package org.masticcroft.kernel.hash;
