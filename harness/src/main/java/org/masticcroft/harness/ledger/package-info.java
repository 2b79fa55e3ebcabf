/** Executions as the engines and services recorded them. */
package org.masticcroft.harness.ledger;
