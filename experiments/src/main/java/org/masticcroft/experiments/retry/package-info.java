/**
 * Experiment on retries while engines fail or are slow. Start reading with
 * {@link org.masticcroft.experiments.retry.RetryExperiment}.
 */
package org.masticcroft.experiments.retry;
