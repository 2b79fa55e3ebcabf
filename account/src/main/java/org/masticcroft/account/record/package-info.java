/**
 * The audit records that entries and sidecars write.
 *
 * <p>Start with {@link org.masticcroft.account.record.RequestRecord}.
 */
package org.masticcroft.account.record;
