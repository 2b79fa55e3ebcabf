/** Measurement of what the account costs, for the capacity page. */
package org.masticcroft.account.capacity;
