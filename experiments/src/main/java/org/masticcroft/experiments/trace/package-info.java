/**
 * Request traces: their file format and their generator. Start reading with
 * {@link org.masticcroft.experiments.trace.TraceRequest}.
 */
package org.masticcroft.experiments.trace;
