package org.masticcroft.experiments;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.masticcroft.experiments.choice.ChoiceExperiment;
import org.masticcroft.experiments.serving.RankExperiment;

/** Bounds that are not met yet. Each test is listed in KNOWN-RED.txt; its tag excludes it from the default run. */
class OpenBoundsTest {
    private static final ExperimentSettings SETTINGS = new ExperimentSettings(1, Path.of("traces"), true);

    @Nested
    class Bounds {
        /** Guards against a flood of the most urgent work that delays the accepted work of its own rank. */
        @Test
        @Tag("known-red")
        void rankKeepsAllItsBounds() {
            assertThat(new RankExperiment().run(SETTINGS).misses("ranked-fair")).isEmpty();
        }

        /** Guards against an engine that receives far more requests than the others. */
        @Test
        @Tag("known-red")
        void choiceKeepsAllItsBounds() {
            assertThat(new ChoiceExperiment().run(SETTINGS).misses("prefix-affinity"))
                    .isEmpty();
        }
    }
}
