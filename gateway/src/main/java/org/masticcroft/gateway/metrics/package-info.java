/**
 * Counters, gauges and latency histograms of a process, exposed in the Prometheus text format. Start reading with
 * {@link org.masticcroft.gateway.metrics.ProcessMetrics}.
 */
package org.masticcroft.gateway.metrics;
