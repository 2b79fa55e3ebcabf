/** Buffering, chaining, signing and appending of audit records. */
package org.masticcroft.account.writer;
