/** Recorded traces: their format and their generator. */
package org.masticcroft.experiments.trace;
