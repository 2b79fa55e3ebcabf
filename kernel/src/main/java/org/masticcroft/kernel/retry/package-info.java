/** Retries and their budget. */
package org.masticcroft.kernel.retry;
