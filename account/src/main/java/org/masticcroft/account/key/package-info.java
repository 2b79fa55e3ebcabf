/** Keys that sign and verify the batches of the account. */
package org.masticcroft.account.key;
