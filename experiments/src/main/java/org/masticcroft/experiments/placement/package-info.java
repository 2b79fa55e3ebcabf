/**
 * Experiment on the placement of versions. Start reading with
 * {@link org.masticcroft.experiments.placement.PlacementExperiment}.
 */
package org.masticcroft.experiments.placement;
