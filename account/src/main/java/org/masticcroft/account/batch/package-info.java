/**
 * Batches of audit records and their encoding. Each batch is signed and contains the hash of the writer's previous one.
 *
 * <p>Start with {@link org.masticcroft.account.batch.Batch}.
 */
package org.masticcroft.account.batch;
