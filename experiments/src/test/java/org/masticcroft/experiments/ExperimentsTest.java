package org.masticcroft.experiments;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.masticcroft.experiments.choice.ChoiceExperiment;
import org.masticcroft.experiments.placement.PlacementExperiment;
import org.masticcroft.experiments.report.Measurement;
import org.masticcroft.experiments.report.Report;
import org.masticcroft.experiments.report.ReportWriter;
import org.masticcroft.experiments.retry.RetryExperiment;
import org.masticcroft.experiments.rollout.RolloutExperiment;
import org.masticcroft.experiments.serving.FairnessExperiment;
import org.masticcroft.experiments.serving.PreemptionExperiment;
import org.masticcroft.experiments.serving.RankExperiment;
import org.masticcroft.experiments.trace.Deployment;
import org.masticcroft.experiments.trace.TraceFile;
import org.masticcroft.experiments.trace.TraceGenerator;
import org.masticcroft.experiments.trace.TraceRequest;

class ExperimentsTest {
    private static final ExperimentSettings SETTINGS = new ExperimentSettings(1, Path.of("traces"), true);

    private static List<Measurement> violationsOf(Experiment experiment, String policy) {
        return experiment.run(SETTINGS).misses(policy);
    }

    @Nested
    class Bounds {
        /** Guards against a queue that lets one customer delay the small ones. */
        @Test
        void fairnessKeepsItsBounds() {
            assertThat(violationsOf(new FairnessExperiment(), "ranked-fair")).isEmpty();
        }

        /** Guards against urgent requests that wait for background work, and against lost background work. */
        @Test
        void preemptionKeepsItsBounds() {
            assertThat(violationsOf(new PreemptionExperiment(), "share-preserving"))
                    .isEmpty();
        }

        /** Guards against retries that prolong a brown-out. */
        @Test
        void retriesKeepTheirBounds() {
            assertThat(violationsOf(new RetryExperiment(), "budgeted")).isEmpty();
        }

        /** Guards against chunks that leave the origin or enter a region twice, and against a stalled rollout. */
        @Test
        void rolloutKeepsItsBounds() {
            assertThat(violationsOf(new RolloutExperiment(), "regional-swarm")).isEmpty();
        }

        /** Guards against a version change that leaves an engine without a loaded version unannounced. */
        @Test
        void placementKeepsItsBounds() {
            assertThat(violationsOf(new PlacementExperiment(), "side-by-side")).isEmpty();
        }

        /** Guards against floods that delay the top rank or take a lower rank's share; see {@link OpenBoundsTest}. */
        @Test
        void rankKeepsItsBoundsExceptTheOpenOnes() {
            assertThat(violationsOf(new RankExperiment(), "ranked-fair"))
                    .extracting(Measurement::metric)
                    .isSubsetOf("top rank all accepted p95 first token ratio", "top rank accepted in target");
        }

        /** Guards against a chooser that loses prefix hits; {@link OpenBoundsTest} covers the balance bounds. */
        @Test
        void choiceKeepsItsBoundsExceptTheOpenOnes() {
            assertThat(violationsOf(new ChoiceExperiment(), "prefix-affinity"))
                    .extracting(Measurement::metric)
                    .isSubsetOf(
                            "busiest engine relative to the mean (mean)",
                            "peak of the idle engine relative to the mean");
        }
    }

    @Nested
    class Determinism {
        /** Guards against measurements that cannot be reproduced from their seed. */
        @Test
        void equalSeedsGiveEqualReports() {
            Report first = new PreemptionExperiment().run(SETTINGS);
            assertThat(new PreemptionExperiment().run(SETTINGS)).isEqualTo(first);
            assertThat(ReportWriter.lines(first)).hasSize(first.measurements().size() + 1);
        }

        /** Guards against committed traces that no longer match the documented generator. */
        @Test
        void committedTracesComeFromSeedOne(@TempDir Path directory) throws Exception {
            for (Deployment deployment : Deployment.all()) {
                List<TraceRequest> generated = TraceGenerator.of(1).usualLoad(deployment, Duration.ofSeconds(60));
                TraceFile.write(directory.resolve("t.jsonl"), generated);
                assertThat(TraceFile.read(directory.resolve("t.jsonl"))).isEqualTo(SETTINGS.trace(deployment));
            }
        }
    }
}
