/**
 * Finds all records of one request.
 *
 * <p>Start with {@link org.masticcroft.account.search.RequestSearch}.
 */
package org.masticcroft.account.search;
