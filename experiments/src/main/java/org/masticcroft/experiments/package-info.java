/** Experiment command and benchmarks of the decision policies. */
package org.masticcroft.experiments;
