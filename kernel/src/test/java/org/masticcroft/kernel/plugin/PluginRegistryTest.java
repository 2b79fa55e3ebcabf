package org.masticcroft.kernel.plugin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticcroft.kernel.admission.AdmissionPlugin;
import org.masticcroft.kernel.admission.PreemptionPolicy;
import org.masticcroft.kernel.config.PolicyConfig;
import org.masticcroft.kernel.placement.PlacementPlanner;
import org.masticcroft.kernel.retry.RetryPolicy;
import org.masticcroft.kernel.rollout.FetchPlanner;
import org.masticcroft.kernel.routing.UpstreamChooser;

class PluginRegistryTest {
    @Nested
    class Names {
        /** Guards against an implementation that is missing from META-INF/services. */
        @Test
        void listsEveryImplementation() {
            assertThat(PluginRegistry.of(AdmissionPlugin.class).names()).containsExactly("fifo", "ranked-fair");
            assertThat(PluginRegistry.of(PreemptionPolicy.class).names()).containsExactly("never", "share-preserving");
            assertThat(PluginRegistry.of(UpstreamChooser.class).names())
                    .containsExactly("least-in-flight", "prefix-affinity", "random");
            assertThat(PluginRegistry.of(RetryPolicy.class).names()).containsExactly("always", "budgeted");
            assertThat(PluginRegistry.of(FetchPlanner.class).names()).containsExactly("regional-swarm", "store-only");
            assertThat(PluginRegistry.of(PlacementPlanner.class).names()).containsExactly("replace", "side-by-side");
        }
    }

    @Nested
    class Require {
        /** Guards against a default configuration that names a policy without an implementation. */
        @Test
        void findsTheDefaultPolicies() {
            PolicyConfig defaults = PolicyConfig.defaults();
            assertThat(PluginRegistry.of(AdmissionPlugin.class).require(defaults.admission()))
                    .isNotNull();
            assertThat(PluginRegistry.of(UpstreamChooser.class).require(defaults.chooser()))
                    .isNotNull();
            assertThat(PluginRegistry.of(FetchPlanner.class).require(defaults.rollout()))
                    .isNotNull();
        }

        /** Guards against an error message for a misspelt name that does not list the known names. */
        @Test
        void listsTheKnownNamesInTheError() {
            assertThatThrownBy(() -> PluginRegistry.of(RetryPolicy.class).require("sometimes"))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining("always, budgeted");
        }
    }
}
