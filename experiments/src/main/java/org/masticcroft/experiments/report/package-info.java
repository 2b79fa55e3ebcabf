/**
 * Measurements of experiments, their bounds, and their output as tables and plots. Start reading with
 * {@link org.masticcroft.experiments.report.Report}.
 */
package org.masticcroft.experiments.report;
