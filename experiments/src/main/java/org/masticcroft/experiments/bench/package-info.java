/** JMH benchmarks of the decision code. */
package org.masticcroft.experiments.bench;
