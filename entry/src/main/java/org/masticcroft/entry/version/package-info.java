/** The configuration version below which the entry must not act. */
package org.masticcroft.entry.version;
