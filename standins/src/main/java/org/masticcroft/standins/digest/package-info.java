/** SHA-256 helpers and the weights digest. */
package org.masticcroft.standins.digest;
