/** Search for the records of one request. */
package org.masticcroft.account.search;
