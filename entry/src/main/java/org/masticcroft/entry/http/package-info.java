/** HTTP towards callers and operators. */
package org.masticcroft.entry.http;
