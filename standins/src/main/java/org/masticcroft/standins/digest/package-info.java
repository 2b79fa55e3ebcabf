/** SHA-256 digests of data and of weights. */
package org.masticcroft.standins.digest;
