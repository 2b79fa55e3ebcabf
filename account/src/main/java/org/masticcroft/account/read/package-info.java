/** Reading the account from the log. */
package org.masticcroft.account.read;
