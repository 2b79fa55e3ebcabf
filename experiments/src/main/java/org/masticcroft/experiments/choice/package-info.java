/** Experiment on the choice of an upstream. */
package org.masticcroft.experiments.choice;
