/**
 * Experiment on the distribution of weights. Start reading with
 * {@link org.masticcroft.experiments.rollout.RolloutExperiment}.
 */
package org.masticcroft.experiments.rollout;
