/** Checks of the invariants against a history and the ledgers. */
package org.masticcroft.harness.check;
