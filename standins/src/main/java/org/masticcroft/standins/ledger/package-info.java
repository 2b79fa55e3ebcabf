/** Ledgers of executed requests: the local one of an upstream and the collector that survives its crash. */
package org.masticcroft.standins.ledger;
