/**
 * Measures what the account costs in CPU time, log bytes and heap, for the capacity page.
 *
 * <p>Start with {@link org.masticcroft.account.capacity.CapacityMain}.
 */
package org.masticcroft.account.capacity;
