package org.masticcroft.experiments;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceFile;
import org.masticcroft.experiments.trace.TraceRequest;

/**
 * Settings of an experiment.
 *
 * @param seed seed of all random generators
 * @param traces directory that holds one trace file per deployment
 * @param small whether to run the short version that the tests use
 */
public record ExperimentSettings(long seed, Path traces, boolean small) {
    public ExperimentSettings {
        Objects.requireNonNull(traces, "traces");
    }

    /**
     * Reads the trace of a deployment.
     *
     * @throws UncheckedIOException if it cannot be read
     */
    public List<TraceRequest> trace(Deployment deployment) {
        try {
            return TraceFile.read(traces.resolve(deployment.name() + ".jsonl"));
        } catch (IOException e) {
            throw new UncheckedIOException("trace " + deployment.name() + " cannot be read from " + traces, e);
        }
    }

    /** Returns the deployments to replay. */
    public List<Deployment> deployments() {
        return small ? List.of(Deployment.seaport()) : Deployment.all();
    }
}
