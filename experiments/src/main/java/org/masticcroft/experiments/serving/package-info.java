/** Experiments on admission, fairness and preemption. */
package org.masticcroft.experiments.serving;
