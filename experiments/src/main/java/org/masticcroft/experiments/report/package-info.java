/** Results of experiments as tables and plots. */
package org.masticcroft.experiments.report;
