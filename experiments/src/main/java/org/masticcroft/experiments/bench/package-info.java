/**
 * JMH benchmarks and heap footprint of the policies. Start reading with
 * {@link org.masticcroft.experiments.bench.BenchCommand}.
 */
package org.masticcroft.experiments.bench;
