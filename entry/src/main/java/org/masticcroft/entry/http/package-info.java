/**
 * HTTP interface of the entry for callers and operators.
 *
 * <p>Start reading with {@link org.masticcroft.entry.http.CallerApi}.
 */
package org.masticcroft.entry.http;
