/**
 * Retries of failed attempts: when another attempt is safe, how long to back off, and the budget that limits retries.
 * Start with {@link org.masticcroft.kernel.retry.RetryPolicy}.
 */
package org.masticcroft.kernel.retry;
