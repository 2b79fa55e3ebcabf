/** Counters and latency histograms of a process, and their text form. */
package org.masticcroft.gateway.metrics;
