/** The entry role. */
package org.masticcroft.entry;
