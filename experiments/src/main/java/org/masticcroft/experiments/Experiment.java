package org.masticcroft.experiments;

import org.masticcroft.experiments.report.Report;

/** Replays a decision under load and faults, with the implementation in use and with its baseline. */
public interface Experiment {
    /** Returns the name by which the command selects the experiment. */
    String name();

    /** Runs the experiment; equal settings give equal reports. */
    Report run(ExperimentSettings settings);
}
