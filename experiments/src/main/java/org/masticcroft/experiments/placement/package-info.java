/** Experiment on the placement of versions. */
package org.masticcroft.experiments.placement;
