/** Verification of exported accounts. */
package org.masticcroft.account.verify;
