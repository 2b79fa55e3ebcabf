/** Experiment on the distribution of weights. */
package org.masticcroft.experiments.rollout;
