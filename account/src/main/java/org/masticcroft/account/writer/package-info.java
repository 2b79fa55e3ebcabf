/**
 * Buffers audit records, seals them into signed and chained batches, and appends these to the log.
 *
 * <p>Start with {@link org.masticcroft.account.writer.LogAccountWriter}.
 */
package org.masticcroft.account.writer;
