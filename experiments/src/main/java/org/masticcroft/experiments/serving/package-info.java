/**
 * Experiments on admission, fairness and preemption. Start reading with
 * {@link org.masticcroft.experiments.serving.ServingReplay}.
 */
package org.masticcroft.experiments.serving;
