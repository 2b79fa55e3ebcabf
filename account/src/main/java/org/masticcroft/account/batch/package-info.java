/** Signed, chained batches of audit records and their encoding. */
package org.masticcroft.account.batch;
