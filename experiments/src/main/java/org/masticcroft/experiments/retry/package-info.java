/** Experiment on retries during a brown-out. */
package org.masticcroft.experiments.retry;
