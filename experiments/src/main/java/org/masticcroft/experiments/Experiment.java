package org.masticcroft.experiments;

import org.masticcroft.experiments.report.Report;

/**
 * Simulates one kind of policy under load and faults, with the implementation in use and with its baseline.
 */
public interface Experiment {
    /** Returns the name that selects the experiment on the command line. */
    String name();

    /** Runs the experiment; equal settings give equal reports. */
    Report run(ExperimentSettings settings);
}
