/** JSON mapping shared by histories, ledgers and summaries; see {@link org.masticcroft.harness.json.Json}. */
package org.masticcroft.harness.json;
