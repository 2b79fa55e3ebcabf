/**
 * Experiment on the choice of an upstream. Start reading with
 * {@link org.masticcroft.experiments.choice.ChoiceExperiment}.
 */
package org.masticcroft.experiments.choice;
