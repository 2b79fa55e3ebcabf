/**
 * Command that simulates the admission, preemption, routing, placement, retry and rollout policies and runs their
 * benchmarks. Start reading with {@link org.masticcroft.experiments.Experiment}.
 */
package org.masticcroft.experiments;
