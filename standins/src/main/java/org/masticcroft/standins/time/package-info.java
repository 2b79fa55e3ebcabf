/** Pacing of byte streams and values that are reported late. */
package org.masticcroft.standins.time;
