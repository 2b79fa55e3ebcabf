/** The JSON mapping that histories, ledgers and summaries share. */
package org.masticcroft.harness.json;
