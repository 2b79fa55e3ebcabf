/** Summaries of an exported account. */
package org.masticcroft.account.report;
